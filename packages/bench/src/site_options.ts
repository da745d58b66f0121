import type {Settings} from '@parsleywood/schema/settings';

/** What a local site consists of. */
export interface SiteOptions {
  readonly hosts: number;
  readonly engines: number;
  readonly services: number;
  /** Multiplies the rates of the engines. */
  readonly engineSpeed: number;
  /** Memory of one engine, in tokens. */
  readonly memoryTokens: number;
  /** Directory for the logs of the processes; standard error when absent. */
  readonly logs?: string;
  /** Another build of the daemon: path of its main module. */
  readonly daemon?: string;
  /** Parts of the base settings that take the place of the usual ones. */
  readonly base?: Partial<Settings>;
  /** Time after which a crashed engine is back; it stays away when absent. */
  readonly engineRestartMs?: number;
}
