import type {Settings} from '@parsleywood/schema/settings';

/** Subset of the settings that admission reads. */
export type AdmissionSettings = Pick<Settings, 'accounts' | 'lengthClasses'>;
