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
  private current = ProxyFault.NONE;
  private lastAddress = '';
  private restart: NodeJS.Timeout | undefined;

  /** @param target Port of the upstream. */
  constructor(private readonly target: number) {
    this.server = createServer(socket => {
      this.take(socket);
    });
  }

  /** IP:port at which the upstream seems to be. */
  get address(): string {
    return this.lastAddress;
  }

  async start(): Promise<void> {
    this.server.listen(0, LOCAL);
    await once(this.server, 'listening');
    const {port} = this.server.address() as AddressInfo;
    this.lastAddress = `${LOCAL}:${port}`;
  }

  /** Whether it takes no connections, as its upstream has crashed. */
  get isDown(): boolean {
    return !this.server.listening;
  }

  /** Resets all connections and takes none for a while. */
  crash(downMs: number): void {
    const {port} = this.server.address() as AddressInfo;
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
    this.restart = setTimeout(() => this.server.listen(port, LOCAL), downMs);
  }

  stop(): void {
    clearTimeout(this.restart);
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  set fault(fault: ProxyFault) {
    this.current = fault;
    if (fault !== ProxyFault.RESET) return;
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  private take(near: Socket): void {
    this.keep(near);
    if (this.current === ProxyFault.RESET) {
      near.resetAndDestroy();
      return;
    }
    const far = connect(this.target, LOCAL);
    this.keep(far);
    this.join(near, far, true);
    this.join(far, near, false);
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
