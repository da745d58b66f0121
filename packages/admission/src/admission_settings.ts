import type {Settings} from '@parsleywood/schema/settings';

/** The part of the settings that admission reads. */
export type AdmissionSettings = Pick<Settings, 'accounts' | 'lengthClasses'>;
