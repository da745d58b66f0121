import {ENGINE_DEFAULTS} from '@parsleywood/stand-ins';
import type {SiteOptions} from './site_options.js';

/** The site that is started where nothing else is asked for. */
export const SITE_DEFAULTS: SiteOptions = {
  hosts: 3,
  engines: 4,
  services: 1,
  engineSpeed: 1,
  memoryTokens: ENGINE_DEFAULTS.memoryTokens,
};
