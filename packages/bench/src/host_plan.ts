import type {StartSettings} from '@parsleywood/schema/start_settings';

/** How one host of a local site is started. */
export interface HostPlan {
  readonly settings: StartSettings;
  /** Path of the file that holds the start settings. */
  readonly file: string;
}
