import type {RawResponse} from './raw_response.js';

/**
 * Describes what looks like a response and is none, by what is wrong with it.
 *
 * @param status Status that a sound response would have.
 */
export function describeBrokenResponses(
  status: number,
  body: string,
): Map<string, RawResponse> {
  const line = `HTTP/1.1 ${status} Some\r\n`;
  const length = `Content-Length: ${body.length}\r\n`;
  const chunked = 'Transfer-Encoding: chunked\r\n';
  const chunk = `${body.length.toString(16)}\r\n${body}\r\n`;
  const ended = new Map([
    ['status 000', `HTTP/1.1 000 Some\r\n${length}\r\n${body}`],
    ['field name with a blank', `${line}X Y: 1\r\n${length}\r\n${body}`],
    ['other version', `HTTP/2.0 ${status} Some\r\n${length}\r\n${body}`],
    ['other coding', `${line}Transfer-Encoding: gzip\r\n\r\n${body}`],
    ['body shorter than its length', `${line}${length}\r\n${body.slice(1)}`],
    ['body without its last chunk', `${line}${chunked}\r\n${chunk}`],
  ]);
  const responses = [...ended].map(([name, bytes]): [string, RawResponse] => [
    name,
    {bytes, isReset: false},
  ]);
  const reset = {bytes: `${line}\r\n${body}`, isReset: true};
  return new Map([...responses, ['reset with its last bytes', reset]]);
}
