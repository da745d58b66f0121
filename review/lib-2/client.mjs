// A client of the platform: one request on one connection, answers read as they come.
import {connect} from 'node:net';
import {setTimeout, clearTimeout} from 'node:timers';
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';

/** Formats a request as the platform's clients send it. */
export function formatRequest(method, path, headers, body = '') {
  const lines = [
    `${method} ${path} HTTP/1.1`,
    'Host: site.example',
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
  ];
  const length = Buffer.byteLength(body);
  if (length > 0 || method === 'POST') lines.push(`Content-Length: ${length}`);
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

/**
 * Sends bytes on a new connection and reads one answer. The status is 0 where the
 * connection ends first, or where nothing complete has come within the limit.
 */
export function call(host, bytes, {limitMs = 2500, localAddress} = {}) {
  return new Promise(resolve => {
    const startMs = performance.now();
    const socket = connect({host: host.ip, port: host.front, localAddress});
    let text = '';
    let end = '';
    const finish = isComplete => {
      clearTimeout(timer);
      socket.destroy();
      const head = /^HTTP\/1\.1 (\d{3})/.exec(text);
      const bodyAt = text.indexOf('\r\n\r\n');
      resolve({
        status: isComplete && head ? Number(head[1]) : 0,
        headStatus: head ? Number(head[1]) : 0,
        tookMs: Math.round(performance.now() - startMs),
        end,
        head: bodyAt < 0 ? text : text.slice(0, bodyAt),
        body: bodyAt < 0 ? '' : text.slice(bodyAt + 4),
      });
    };
    const timer = setTimeout(() => {
      end = 'no answer within the limit';
      finish(false);
    }, limitMs);
    socket.on('connect', () => socket.write(bytes));
    socket.on('data', chunk => {
      text += chunk.toString('latin1');
      if (isWhole(text)) finish(true);
    });
    socket.on('error', error => {
      end = error.code ?? String(error);
    });
    socket.on('close', () => {
      end ||= 'closed';
      finish(false);
    });
  });
}

function isWhole(text) {
  const bodyAt = text.indexOf('\r\n\r\n');
  if (bodyAt < 0) return false;
  const head = text.slice(0, bodyAt);
  const length = /^content-length: *(\d+)/im.exec(head);
  if (length) return text.length - bodyAt - 4 >= Number(length[1]);
  return /^transfer-encoding: *chunked/im.test(head)
    ? text.endsWith('\r\n0\r\n\r\n')
    : false;
}
