import {once} from 'node:events';
import {connect, createServer, type Server, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';
import {ProxyFault} from './proxy_fault.js';

const LOCAL = '127.0.0.1';
const DELAY_MS = 150;

/** A loopback proxy before one upstream, which misbehaves when told to. */
export class FaultProxy {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private ownFault = ProxyFault.NONE;
  private pathFault = ProxyFault.NONE;
  private lastPort = 0;
  private isCrashed = false;
  private listens = false;
  private restart: NodeJS.Timeout | undefined;

  /**
   * @param target Port of the upstream.
   * @param host IP at which it seems to be.
   */
  constructor(
    private readonly target: number,
    private readonly host: string,
  ) {
    this.server = createServer(socket => {
      this.take(socket);
    });
  }

  /** Port at which the upstream seems to be. */
  get port(): number {
    return this.lastPort;
  }

  /** @param port 0 for any. */
  async start(port: number): Promise<void> {
    this.listens = true;
    this.server.listen(port, this.host);
    await once(this.server, 'listening');
    this.lastPort = (this.server.address() as AddressInfo).port;
  }

  /** Resets all connections and takes none for a while. */
  crash(downMs: number): void {
    this.isCrashed = true;
    this.resetAll();
    this.listenOrClose();
    this.restart = setTimeout(() => {
      this.isCrashed = false;
      this.listenOrClose();
    }, downMs);
  }

  stop(): void {
    clearTimeout(this.restart);
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  /** Fault of the upstream. */
  set fault(fault: ProxyFault) {
    this.ownFault = fault;
    this.apply();
  }

  /** Fault of the way to the upstream, which hides one of the upstream. */
  set cut(fault: ProxyFault) {
    this.pathFault = fault;
    this.apply();
  }

  private get current(): ProxyFault {
    return this.pathFault === ProxyFault.NONE ? this.ownFault : this.pathFault;
  }

  private apply(): void {
    const {current} = this;
    if (current === ProxyFault.RESET) this.resetAll();
    for (const socket of this.sockets) {
      if (current === ProxyFault.HOLD) socket.pause();
      else socket.resume();
    }
    this.listenOrClose();
  }

  private listenOrClose(): void {
    const mayListen = !this.isCrashed && this.current !== ProxyFault.REFUSE;
    if (mayListen === this.listens) return;
    this.listens = mayListen;
    if (mayListen) this.server.listen(this.lastPort, this.host);
    else this.server.close();
  }

  private resetAll(): void {
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  private take(near: Socket): void {
    this.keep(near);
    if (this.current === ProxyFault.RESET) {
      near.resetAndDestroy();
      return;
    }
    const far = connect({
      port: this.target,
      host: LOCAL,
      // Tells the upstream by which path a request came.
      localAddress: this.host,
    });
    this.keep(far);
    this.join(near, far, true);
    this.join(far, near, false);
    if (this.current !== ProxyFault.HOLD) return;
    near.pause();
    far.pause();
  }

  /** Passes bytes on in order; once some are swallowed, all that follow are. */
  private join(from: Socket, to: Socket, isRequest: boolean): void {
    let isLost = false;
    const waiting: (() => void)[] = [];
    const pass = (act: () => void): void => {
      const isDelayed = this.current === ProxyFault.DELAY;
      if (!isDelayed && waiting.length === 0) {
        act();
        return;
      }
      // Timers of one length fire in order, so that bytes stay in order.
      waiting.push(act);
      setTimeout(() => waiting.shift()?.(), DELAY_MS);
    };
    from.on('data', (bytes: Buffer) => {
      const swallows =
        this.current === ProxyFault.SILENCE ||
        (this.current === ProxyFault.ONE_WAY && !isRequest);
      isLost ||= swallows;
      if (!isLost) pass(() => to.write(bytes));
    });
    from.on('end', () => {
      if (!isLost) pass(() => to.end());
    });
    from.on('close', hadError => {
      if (hadError) to.resetAndDestroy();
    });
  }

  private keep(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
  }
}
