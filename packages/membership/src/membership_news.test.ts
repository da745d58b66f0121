import {expect} from 'chai';
import type {HostList} from '@parsleywood/schema/host_list';
import {MembershipMessage} from '@parsleywood/schema/membership';
import {
  Membership,
  MembershipActionKind,
  MembershipEventKind,
  MemberState,
  UpstreamNews,
} from './index.js';
import {VirtualSite} from './testing/index.js';

const SETTINGS = {
  probeIntervalMs: 500,
  suspectAfterMs: 1500,
  deadAfterMs: 4000,
};
const SETTLED_MS = 10_000;
const HOSTS = 9;
const MINUTE_MS = 60_000;

describe('membership announcements', () => {
  it('tells a process that a later incarnation of its host is running', () => {
    const site = startSite(4);
    const kind = MembershipEventKind.MESSAGE;
    const from = 'entry-1';
    const message = MembershipMessage.fromPartial({address: '10.9.9.9:8082'});
    const event = {kind, from, incarnation: '5-old', message} as const;
    const answers = site.membership('entry-2').handle(event, site.nowMs);
    const sent = answers.flatMap(action =>
      action.kind === MembershipActionKind.SEND ? [action] : [],
    );
    expect(sent.map(({address}) => address)).to.eql(['10.9.9.9:8082']);
    const laterIncarnation = site.getMember('entry-2', from).incarnation;
    const old = new Membership({
      self: {host: from, id: '5-old'},
      address: '10.9.9.9:8082',
      settings: SETTINGS,
      seed: 1,
    });
    const answer = {...event, from: 'entry-2', message: sent[0]!.message};
    expect(old.handle(answer, 0)).to.deep.include({
      kind: MembershipActionKind.SUPERSEDED,
      incarnation: laterIncarnation,
    });
  });

  it('reports leaving at once on announcement, list change or refusal', () => {
    const announcements: ((site: VirtualSite) => void)[] = [
      site => site.tell('entry-1', {kind: MembershipEventKind.SELF_LEAVING}),
      site =>
        site.tell('entry-2', {
          kind: MembershipEventKind.LIST,
          list: buildListWithLeaving(site, 'entry-1'),
          revision: 2,
        }),
      site =>
        site.tell('entry-2', {
          kind: MembershipEventKind.REFUSED,
          host: 'entry-1',
          incarnation: site.getMember('entry-2', 'entry-1').incarnation,
        }),
    ];
    for (const announceLeaving of announcements) {
      const site = startSite(6);
      announceLeaving(site);
      site.run(10);
      const {state} = site.getMember('entry-2', 'entry-1');
      expect(state).to.equal(MemberState.LEAVING);
      site.run(4 * SETTINGS.probeIntervalMs);
      for (const host of site.hosts.slice(2)) {
        const member = site.getMember(host, 'entry-1');
        expect(member.state).to.equal(MemberState.LEAVING);
      }
    }
  });

  it('reports a host that announced its exit as proved dead', () => {
    const site = startSite(7);
    const before = site.changes.length;
    site.tell('entry-1', {kind: MembershipEventKind.SELF_STOPPED});
    site.crash('entry-1');
    site.run(2 * SETTINGS.probeIntervalMs);
    const deaths = site.changes.slice(before).filter(isDeath);
    expect(deaths.length).to.equal(HOSTS - 1);
    expect(deaths.every(change => change.proved)).to.equal(true);
  });

  it('gossips the newest host list and ignores older ones', () => {
    const site = startSite(8);
    const list = buildListWithLeaving(site, 'entry-3');
    const kind = MembershipEventKind.LIST;
    site.tell('entry-1', {kind, list, revision: 5});
    site.run(SETTLED_MS);
    site.tell('entry-2', {kind, list: site.published, revision: 4});
    const adopted = site.otherActions.filter(
      ({action}) =>
        action.kind === MembershipActionKind.LIST_ADOPTED &&
        action.revision === 5,
    );
    expect(adopted.map(({host}) => host).sort()).to.eql(site.hosts);
    const {state} = site.getMember('entry-2', 'entry-3');
    expect(state).to.equal(MemberState.LEAVING);
  });

  it('adds a host that at first only its own list contains', () => {
    const site = startSite(9);
    const extendedList = {
      hosts: [
        ...site.published.hosts,
        {
          name: 'entry-10',
          callers: '10.0.1.1:8080',
          peers: '10.0.1.1:8082',
          failureDomain: 'domain-1',
          state: 'live' as const,
        },
      ],
    };
    site.start('entry-10', extendedList, 2);
    site.run(SETTLED_MS);
    for (const host of site.hosts) {
      const {state} = site.getMember(host, 'entry-10');
      expect(state).to.equal(MemberState.ALIVE);
    }
  });

  it('keeps a dead host dead for as long as it is listed', () => {
    const site = startSite(10);
    const crashedIncarnation = site.getMember('entry-2', 'entry-1').incarnation;
    site.crash('entry-1');
    site.run(10 * MINUTE_MS);
    const kind = MembershipEventKind.LIST;
    site.tell('entry-3', {kind, list: site.published, revision: 2});
    const member = site.getMember('entry-3', 'entry-1');
    expect(member.state).to.equal(MemberState.DEAD);
    site.start('entry-2');
    site.run(SETTLED_MS);
    const {state, incarnation} = site.getMember('entry-2', 'entry-1');
    expect([state, incarnation]).to.eql([MemberState.DEAD, crashedIncarnation]);
  });

  it('applies changed timeouts at runtime', () => {
    const site = startSite(15);
    const kind = MembershipEventKind.SETTINGS;
    const settings = {...SETTINGS, suspectAfterMs: 1000, deadAfterMs: 2000};
    for (const host of site.hosts) site.tell(host, {kind, settings});
    const before = site.changes.length;
    site.crash('entry-1');
    site.run(2000 + 2 * SETTINGS.probeIntervalMs + 1);
    const dead = site.changes.slice(before).filter(isDeath);
    expect(dead.length).to.equal(HOSTS - 1);
  });

  it('reports an upstream event to each peer exactly once', () => {
    const site = startSite(11);
    const news = UpstreamNews.LEAVING;
    const kind = MembershipEventKind.UPSTREAM_NEWS;
    site.tell('entry-1', {kind, upstream: 'engine-1', news});
    site.run(4 * SETTINGS.probeIntervalMs);
    const reports = site.otherActions.filter(
      ({action}) => action.kind === MembershipActionKind.UPSTREAM_REPORTED,
    );
    expect(reports.map(({host}) => host).sort()).to.eql(site.hosts.slice(1));
  });
});

function startSite(seed: number): VirtualSite {
  const settings = SETTINGS;
  const options = {hosts: HOSTS, failureDomains: 3, seed, settings};
  return VirtualSite.startSettled(options);
}

function isDeath(change: {state: MemberState}): boolean {
  return change.state === MemberState.DEAD;
}

function buildListWithLeaving(site: VirtualSite, name: string): HostList {
  const hosts = site.published.hosts.map(host =>
    host.name === name ? {...host, state: 'leaving' as const} : host,
  );
  return {hosts};
}
