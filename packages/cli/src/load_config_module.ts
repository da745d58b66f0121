import type {SettingsTool} from './config_module.js';

/** Loads the functions on settings, which only some commands need. */
export async function loadSettingsTool(): Promise<SettingsTool> {
  const config: unknown = await import('@parsleywood/config');
  return config as SettingsTool;
}
