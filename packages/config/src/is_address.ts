import {isIP} from 'node:net';

const MAX_PORT = 65_535;

/** Whether text is an IP number and a port: `10.0.0.1:80` or `[::1]:80`. */
export function isAddress(text: string): boolean {
  const [, six, four, port] =
    /^(?:\[([^\]]*)\]|([^:]*)):(\d{1,5})$/.exec(text) ?? [];
  if (port === undefined || Number(port) > MAX_PORT) return false;
  return six === undefined ? isIP(four ?? '') === 4 : isIP(six) === 6;
}
