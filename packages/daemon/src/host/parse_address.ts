import {ErrorKind, Failure} from '@parsleywood/errors';
import type {Address} from './address.js';

const ADDRESS = /^\[?([0-9a-fA-F.:]+?)\]?:([0-9]{1,5})$/;

/**
 * Parses IP:port; an IPv6 address is written in brackets.
 *
 * @throws Failure for any other text, such as a host name.
 */
export function parseAddress(text: string): Address {
  const [, host, port] = ADDRESS.exec(text) ?? [];
  if (host === undefined || port === undefined) {
    throw new Failure(
      ErrorKind.INVALID_REQUEST,
      `address "${text}" is not IP:port`,
    );
  }
  return {host, port: Number(port)};
}
