import {PeerState} from '../peer_state.js';
import type {Simulation} from './simulation.js';

const ORDERS = 5;
const STEP_CODE_MAX = 2 ** 31 - 1;
const STEP_GAP_SHORT_MS = 5;
const STEP_GAP_LONG_MS = 100;
const RECOVERY_MS = 6_000;
const FINISH_MS = 2_000;

/**
 * Decodes numbers into steps and performs them on a simulation: calls, faults
 * and changes of the host list.
 */
export class FaultInjector {
  private nextHostNumber: number;
  private readonly closedHosts = new Set<string>();

  constructor(private readonly simulation: Simulation) {
    this.nextHostNumber = simulation.hosts.size;
  }

  /**
   * Performs the steps, then ends all faults and resubmits every order.
   *
   * @return The answers of all listed hosts to a final new order: a failure
   *     kind each, or an empty string for success.
   */
  perform(steps: readonly number[]): string[] {
    for (const step of steps) {
      this.performStep(step);
      this.simulation.advance(this.drawGapMs());
    }
    this.endFaults();
    for (let index = 0; index < 2 * ORDERS; index++) this.submitToAll(index);
    this.simulation.advance(FINISH_MS);
    const before = this.simulation.replies.length;
    for (const member of this.simulation.views.at(-1) ?? []) {
      this.simulation.submit(2 * ORDERS, member);
    }
    this.simulation.advance(FINISH_MS);
    return this.simulation.replies.slice(before).map(({kind}) => kind);
  }

  private endFaults(): void {
    const {simulation} = this;
    simulation.network.heal();
    simulation.network.stopLosses();
    for (const {name} of [...simulation.hosts.values()]) {
      simulation.resume(name);
    }
    const names = [...simulation.hosts.keys()];
    for (const name of names) {
      const isUp = simulation.hosts.get(name)?.up;
      if (!isUp || this.closedHosts.has(name)) simulation.restart(name);
    }
    for (const name of names) {
      for (const peer of names) {
        simulation.markPeer(name, peer, PeerState.REACHABLE);
      }
    }
    simulation.advance(RECOVERY_MS);
  }

  /** Performs the given number of random steps. */
  performRandom(count: number): void {
    const draw = () => this.simulation.draw(0, STEP_CODE_MAX);
    this.perform(Array.from({length: count}, draw));
  }

  private submitToAll(index: number): void {
    for (const name of this.simulation.hosts.keys()) {
      this.simulation.submit(index, name);
    }
  }

  private performStep(stepCode: number): void {
    const parameter = Math.floor(stepCode / 16);
    const names = [...this.simulation.hosts.keys()];
    const name = names[parameter % names.length] ?? '';
    const peer = names[Math.floor(parameter / 64) % names.length] ?? '';
    switch (stepCode % 16) {
      case 0:
      case 1:
      case 2:
      case 3:
        this.simulation.submit(Math.floor(parameter / 64) % (2 * ORDERS), name);
        break;
      case 4:
        this.submitToAll(parameter % (2 * ORDERS));
        break;
      case 5:
        if (this.leavesMajority(name)) this.simulation.crash(name);
        break;
      case 6:
        if (this.leavesMajority(name)) {
          this.simulation.restart(name, this.pickView());
        }
        break;
      case 7:
        if (
          parameter % 8 === 0 ? this.leavesRecords(name) : this.mayRestart(name)
        ) {
          this.simulation.restart(name, this.pickView());
        }
        break;
      case 8:
        this.simulation.pause(name);
        break;
      case 9:
      case 10:
        this.simulation.resume(name);
        break;
      case 11:
        this.simulation.network.partition(
          names.filter((_, i) => (parameter >> i) % 2 === 1),
        );
        break;
      case 12:
        this.simulation.network.heal();
        break;
      case 13:
        this.publishNextView(parameter, names);
        break;
      case 14:
        this.simulation.markPeer(name, peer, pickPeerState(parameter >> 3));
        break;
      case 15:
        this.performRareStep(parameter, name);
        break;
    }
  }

  private drawGapMs(): number {
    const long = this.simulation.draw(0, 1) === 1;
    return this.simulation.draw(0, long ? STEP_GAP_LONG_MS : STEP_GAP_SHORT_MS);
  }

  private performRareStep(parameter: number, name: string): void {
    switch (parameter % 8) {
      case 0:
        this.restartAllAtOnce();
        break;
      case 1:
        if (!this.leavesMajority(name)) break;
        this.closedHosts.add(name);
        this.simulation.close(name);
        break;
      case 2:
      case 3:
        this.submitToAll((parameter >> 4) % (2 * ORDERS));
        this.simulation.advance(this.simulation.draw(1, 30));
        if (this.leavesMajority(name)) this.simulation.restart(name);
        break;
      case 4:
        this.submitConcurrently(parameter >> 4, name);
        break;
      default:
        this.partitionWithView(parameter >> 4);
    }
  }

  /** Makes two hosts claim the same order while a third one restarts. */
  private submitConcurrently(parameter: number, restarting: string): void {
    const names = [...this.simulation.hosts.keys()];
    for (const offset of [0, 1]) {
      const name = names[(parameter + offset) % names.length] ?? '';
      for (const other of names) {
        this.simulation.markPeer(name, other, PeerState.SUSPECTED);
      }
      this.simulation.submit((parameter >> 4) % (2 * ORDERS), name);
      this.simulation.advance(this.simulation.draw(0, STEP_GAP_SHORT_MS));
      if (offset === 0 && this.leavesMajority(restarting)) {
        this.simulation.restart(restarting);
        this.simulation.advance(this.simulation.draw(0, STEP_GAP_LONG_MS));
      }
    }
  }

  private restartAllAtOnce(): void {
    for (const host of this.simulation.hosts.values()) {
      this.simulation.crash(host.name);
    }
    for (const member of this.simulation.views.at(-1) ?? []) {
      this.simulation.restart(member);
    }
  }

  /**
   * Partitions the hosts and publishes on one side a host list that consists
   * mostly of that side. Then both sides get the same order.
   */
  private partitionWithView(parameter: number): void {
    const names = [...this.simulation.hosts.keys()];
    const side = names.filter((_, i) => (parameter >> i) % 2 === 1);
    const others = names.filter(name => !side.includes(name));
    this.simulation.network.partition(side);
    for (const name of side) {
      for (const other of others) {
        this.simulation.markPeer(name, other, PeerState.SUSPECTED);
        this.simulation.markPeer(other, name, PeerState.SUSPECTED);
      }
    }
    const extraMember = others[parameter % Math.max(1, others.length)];
    const members =
      extraMember && parameter % 3 === 0 ? [...side, extraMember] : side;
    const keepsRecords = members.some(member => this.hasClaimRecords(member));
    if (members.length >= 3 && members.length <= 9 && keepsRecords) {
      this.simulation.publishView(members, side);
    }
    this.simulation.advance(this.drawGapMs());
    this.submitToAll(parameter % (2 * ORDERS));
  }

  private publishNextView(parameter: number, names: readonly string[]): void {
    const latest = this.simulation.views.at(-1) ?? [];
    const removedIndex = parameter % 3 === 0 ? -1 : parameter % latest.length;
    const members = latest.filter(
      (_, i) => i !== removedIndex || latest.length <= 3,
    );
    const mayGrow = parameter % 3 < 2 && members.length < 9;
    const added =
      (parameter >> 5) % 2 === 0 ? `h${this.nextHostNumber++}` : undefined;
    const returning = names.find(known => !members.includes(known));
    const joining = added ?? returning;
    if (mayGrow && joining) members.push(joining);
    if (!members.some(member => this.hasClaimRecords(member))) return;
    const informed = names.filter((_, i) => (parameter >> (i + 4)) % 3 > 0);
    this.simulation.publishView(members, informed);
  }

  /**
   * Whether each host list in use keeps a member with claim records if one host
   * stops.
   */
  private leavesRecords(stopping: string): boolean {
    const usedViews = new Set(
      [...this.simulation.hosts.values()].map(({viewNumber}) => viewNumber),
    );
    usedViews.add(this.simulation.views.length - 1);
    return [...usedViews].every(number =>
      this.simulation.views[number]?.some(
        member => member !== stopping && this.hasClaimRecords(member),
      ),
    );
  }

  /**
   * Whether a majority of the latest host list keeps its claim records if one
   * host stops. Without it, the run would soon end in a site without records,
   * where no further faults can be found.
   */
  private leavesMajority(stopping: string): boolean {
    const latest = this.simulation.views.at(-1) ?? [];
    const remaining = latest.filter(
      member => member !== stopping && this.hasClaimRecords(member),
    );
    return this.leavesRecords(stopping) && remaining.length > latest.length / 2;
  }

  /** Whether a host is down or has no claim records, so a restart loses none. */
  private mayRestart(name: string): boolean {
    return !this.hasClaimRecords(name) && this.leavesRecords(name);
  }

  private hasClaimRecords(name: string): boolean {
    const host = this.simulation.hosts.get(name);
    return host?.up === true && host.subject.hasClaimRecords?.() !== false;
  }

  private pickView(): number {
    const last = this.simulation.views.length - 1;
    const earlier = Math.max(1, last - this.simulation.draw(0, 2));
    return this.simulation.views[earlier]?.some(member =>
      this.hasClaimRecords(member),
    )
      ? earlier
      : last;
  }
}

function pickPeerState(choice: number): PeerState {
  const states = [PeerState.REACHABLE, PeerState.SUSPECTED, PeerState.DEAD];
  return states[choice % states.length] ?? PeerState.REACHABLE;
}
