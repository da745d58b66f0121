import type {ConfigModule} from './config_module.js';

/** Imports `@parsleywood/config` on demand; only settings commands need it. */
export async function loadConfigModule(): Promise<ConfigModule> {
  const config: unknown = await import('@parsleywood/config');
  return config as ConfigModule;
}
