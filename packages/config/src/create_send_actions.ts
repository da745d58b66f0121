import type {ConfigurationMessage} from '@parsleywood/schema/configuration';
import type {ConfigurationAction} from './configuration_action.js';
import {ConfigurationActionKind} from './configuration_action_kind.js';

/** Creates one send action per receiving host. */
export function createSendActions(
  hosts: readonly string[],
  message: ConfigurationMessage,
): ConfigurationAction[] {
  return hosts.map(to => ({kind: ConfigurationActionKind.SEND, to, message}));
}
