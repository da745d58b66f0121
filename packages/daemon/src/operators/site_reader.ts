import type {HostStatus} from '@parsleywood/schema/host_status';
import {ErrorKind, Failure} from '@parsleywood/errors';
import type {TimelineQuery} from '@parsleywood/schema/timeline';
import type {TimelineEntry} from '@parsleywood/timeline';
import type {HostStatusReader} from './host_status_reader.js';
import {gatherTimeline} from '../peers/gather_timeline.js';
import type {PeerTransport} from '../peers/peer_transport.js';
import type {Serving} from '../host/serving.js';

/** Collects data from all hosts of the site for operators, and drains hosts. */
export class SiteReader {
  constructor(
    private readonly serving: Serving,
    private readonly transport: PeerTransport,
    private readonly status: HostStatusReader,
  ) {}

  /**
   * Reads the status of every listed host. A host that does not answer gets the
   * state `unreachable`.
   */
  async readStatus(): Promise<HostStatus[]> {
    const own = this.status.read();
    const others = this.otherHosts().map(async name => {
      const result = await this.transport.readStatus(name);
      return result.isOk
        ? (JSON.parse(result.value) as HostStatus)
        : this.describeUnreachable(name, result.error);
    });
    const all = [own, ...(await Promise.all(others))];
    return all.sort((a, b) => (a.name < b.name ? -1 : 1));
  }

  /** Reads the events of every host that answers, in causal order. */
  async readTimeline(query: TimelineQuery): Promise<TimelineEntry[]> {
    const own = this.serving.timeline.read(query);
    return gatherTimeline(own, this.otherHosts(), this.transport, query);
  }

  /**
   * Starts the graceful shutdown of another host.
   *
   * @throws Failure when the host is not listed or does not answer.
   */
  async drain(name: string): Promise<void> {
    if (!this.otherHosts().includes(name)) {
      throw new Failure(ErrorKind.NOT_FOUND, `no host "${name}" at this site`);
    }
    const result = await this.transport.drain(name);
    if (result.isErr) throw result.error;
  }

  private otherHosts(): string[] {
    return this.serving.site
      .hosts()
      .hosts.map(host => host.name)
      .filter(name => name !== this.serving.host);
  }

  private describeUnreachable(name: string, failure: Failure): HostStatus {
    const listed = this.serving.site
      .hosts()
      .hosts.find(host => host.name === name);
    return {
      name,
      incarnation: '',
      state: 'unreachable',
      failureDomain: listed?.failureDomain ?? '',
      callers: listed?.callers ?? '',
      error: failure.message,
    };
  }
}
