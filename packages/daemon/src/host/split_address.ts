import {parseAddress} from './parse_address.js';

/** Splits an address (IP:port) into what a server listens at. */
export function splitAddress(address: string): [string, number] {
  const {host, port} = parseAddress(address);
  return [host, port];
}
