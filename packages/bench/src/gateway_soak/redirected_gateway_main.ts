/** Runs a gateway that reaches a listed host at a host of its own, so that its paths can fail alone. */
import {Socket} from 'node:net';

type Connect = (this: Socket, ...args: unknown[]) => Socket;

const [listedHost, ownHost] = process.argv.splice(2, 2);
// `connect` of node:net passes its arguments on as one array, options first.
const prototype = Socket.prototype as {connect: Connect};
const {connect} = prototype;
prototype.connect = function (this: Socket, ...args: unknown[]): Socket {
  const [first] = args;
  const options = Array.isArray(first) ? (first[0] as object) : undefined;
  if (options && 'host' in options && options.host === listedHost) {
    options.host = ownHost;
  }
  return connect.apply(this, args);
};
// Its open standard input tells that the soak runs.
process.stdin.on('end', () => process.exit()).resume();
await import('@parsleywood/daemon/gateway_main');
