/** A TCP proxy that can make open connections, or all of them, fall silent. */
import {connect, createServer} from 'node:net';

export class Proxy {
  /** @param target IP:port that the connections go to. */
  constructor(target) {
    this.target = target;
    this.pairs = new Set();
    this.isCut = false;
    this.server = createServer({allowHalfOpen: true}, client =>
      this.accept(client),
    );
  }

  async start(ip = '127.0.0.1') {
    await new Promise(resolve => this.server.listen(0, ip, resolve));
    this.address = `${ip}:${this.server.address().port}`;
  }

  stop() {
    this.server.close();
    for (const {client, server} of this.pairs) {
      client.destroy();
      server.destroy();
    }
  }

  /** Makes the open connections silent for good, both ways; new ones work. */
  silence() {
    for (const pair of this.pairs) pair.isSilent = true;
    return this.pairs.size;
  }

  /** Partitions the path: open connections are silent, new ones hang. */
  cut() {
    this.isCut = true;
    this.silence();
  }

  /** Ends the partition; what was open stays silent, as its sender gave up. */
  heal() {
    this.isCut = false;
  }

  accept(client) {
    const pair = {client, server: undefined, isSilent: this.isCut};
    this.pairs.add(pair);
    const [host, port] = this.target.split(':');
    pair.server = connect({host, port: Number(port), allowHalfOpen: true});
    this.join(pair, client, pair.server);
    this.join(pair, pair.server, client);
  }

  join(pair, from, to) {
    from.setNoDelay(true);
    from.on('data', bytes => {
      if (!pair.isSilent) to.write(bytes);
    });
    from.on('end', () => {
      if (!pair.isSilent) to.end();
    });
    from.on('error', () => {
      if (!pair.isSilent) to.resetAndDestroy();
    });
    from.on('close', () => {
      if (pair.isSilent) return;
      to.destroy();
      this.pairs.delete(pair);
    });
  }
}
