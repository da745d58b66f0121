import {isIP} from 'node:net';

const MAX_PORT = 65_535;

/** Whether text is an IP address and a port: `10.0.0.1:80` or `[::1]:80`. */
export function isAddress(text: string): boolean {
  const [, ipv6, ipv4, port] =
    /^(?:\[([^\]]*)\]|([^:]*)):(\d{1,5})$/.exec(text) ?? [];
  if (port === undefined || Number(port) > MAX_PORT) return false;
  return ipv6 === undefined ? isIP(ipv4 ?? '') === 4 : isIP(ipv6) === 6;
}
