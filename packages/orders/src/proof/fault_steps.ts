import {PeerState} from '../peer_state.js';
import type {Simulation} from './simulation.js';

const ORDERS = 5;
const STEP_CODE_MAX = 2 ** 31 - 1;
const STEP_GAP_SHORT_MS = 5;
const STEP_GAP_LONG_MS = 100;
const RECOVERY_MS = 6_000;
const FINISH_MS = 2_000;

/** Performs steps given as numbers on a simulation: calls, faults, lists. */
export class FaultSteps {
  private nextHostNumber: number;
  private readonly closedHosts = new Set<string>();

  constructor(private readonly simulation: Simulation) {
    this.nextHostNumber = simulation.hosts.size;
  }

  /**
   * Decodes and performs random steps, ends all faults and resends everything.
   *
   * @return Failure kinds, or empty text, that each listed host answers to one
   *     new order at last.
   */
  perform(steps: readonly number[]): string[] {
    for (const step of steps) {
      this.performStep(step);
      this.simulation.advance(this.drawGapMs());
    }
    this.endFaults();
    for (let index = 0; index < 2 * ORDERS; index++) this.resend(index);
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

  /** Performs a number of random steps. */
  performRandom(count: number): void {
    const draw = () => this.simulation.draw(0, STEP_CODE_MAX);
    this.perform(Array.from({length: count}, draw));
  }

  private resend(index: number): void {
    for (const name of this.simulation.hosts.keys()) {
      this.simulation.submit(index, name);
    }
  }

  private performStep(code: number): void {
    const choice = Math.floor(code / 16);
    const names = [...this.simulation.hosts.keys()];
    const name = names[choice % names.length] ?? '';
    const other = names[Math.floor(choice / 64) % names.length] ?? '';
    switch (code % 16) {
      case 0:
      case 1:
      case 2:
      case 3:
        this.simulation.submit(Math.floor(choice / 64) % (2 * ORDERS), name);
        break;
      case 4:
        this.resend(choice % (2 * ORDERS));
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
          choice % 8 === 0 ? this.leavesRecords(name) : this.mayRestart(name)
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
          names.filter((_, i) => (choice >> i) % 2 === 1),
        );
        break;
      case 12:
        this.simulation.network.heal();
        break;
      case 13:
        this.publishNextView(choice, names);
        break;
      case 14:
        this.simulation.markPeer(name, other, drawState(choice >> 3));
        break;
      case 15:
        this.performRareStep(choice, name);
        break;
    }
  }

  private drawGapMs(): number {
    const long = this.simulation.draw(0, 1) === 1;
    return this.simulation.draw(0, long ? STEP_GAP_LONG_MS : STEP_GAP_SHORT_MS);
  }

  private performRareStep(choice: number, name: string): void {
    switch (choice % 8) {
      case 0:
        this.restartAll();
        break;
      case 1:
        if (!this.leavesMajority(name)) break;
        this.closedHosts.add(name);
        this.simulation.close(name);
        break;
      case 2:
      case 3:
        this.resend((choice >> 4) % (2 * ORDERS));
        this.simulation.advance(this.simulation.draw(1, 30));
        if (this.leavesMajority(name)) this.simulation.restart(name);
        break;
      case 4:
        this.submitConcurrently(choice >> 4, name);
        break;
      default:
        this.partitionWithView(choice >> 4);
    }
  }

  /** Two hosts claim one key by themselves while a third restarts. */
  private submitConcurrently(choice: number, restarting: string): void {
    const names = [...this.simulation.hosts.keys()];
    for (const offset of [0, 1]) {
      const name = names[(choice + offset) % names.length] ?? '';
      for (const other of names) {
        this.simulation.markPeer(name, other, PeerState.SUSPECTED);
      }
      this.simulation.submit((choice >> 4) % (2 * ORDERS), name);
      this.simulation.advance(this.simulation.draw(0, STEP_GAP_SHORT_MS));
      if (offset === 0 && this.leavesMajority(restarting)) {
        this.simulation.restart(restarting);
        this.simulation.advance(this.simulation.draw(0, STEP_GAP_LONG_MS));
      }
    }
  }

  private restartAll(): void {
    for (const host of this.simulation.hosts.values()) {
      this.simulation.crash(host.name);
    }
    for (const member of this.simulation.views.at(-1) ?? []) {
      this.simulation.restart(member);
    }
  }

  /** One side of a partition gets a list of mostly its own; both claim. */
  private partitionWithView(choice: number): void {
    const names = [...this.simulation.hosts.keys()];
    const side = names.filter((_, i) => (choice >> i) % 2 === 1);
    const others = names.filter(name => !side.includes(name));
    this.simulation.network.partition(side);
    for (const name of side) {
      for (const other of others) {
        this.simulation.markPeer(name, other, PeerState.SUSPECTED);
        this.simulation.markPeer(other, name, PeerState.SUSPECTED);
      }
    }
    const extraMember = others[choice % Math.max(1, others.length)];
    const members =
      extraMember && choice % 3 === 0 ? [...side, extraMember] : side;
    const kept = members.some(member => this.hasClaimRecords(member));
    if (members.length >= 3 && members.length <= 9 && kept) {
      this.simulation.publishView(members, side);
    }
    this.simulation.advance(this.drawGapMs());
    this.resend(choice % (2 * ORDERS));
  }

  private publishNextView(choice: number, names: readonly string[]): void {
    const latest = this.simulation.views.at(-1) ?? [];
    const removedIndex = choice % 3 === 0 ? -1 : choice % latest.length;
    const members = latest.filter(
      (_, i) => i !== removedIndex || latest.length <= 3,
    );
    const mayGrow = choice % 3 < 2 && members.length < 9;
    const added =
      (choice >> 5) % 2 === 0 ? `h${this.nextHostNumber++}` : undefined;
    const returning = names.find(known => !members.includes(known));
    const joining = added ?? returning;
    if (mayGrow && joining) members.push(joining);
    if (!members.some(member => this.hasClaimRecords(member))) return;
    const informed = names.filter((_, i) => (choice >> (i + 4)) % 3 > 0);
    this.simulation.publishView(members, informed);
  }

  /** A list all of whose members lost memory must not be in use elsewhere. */
  private leavesRecords(leaving: string): boolean {
    const usedViews = new Set(
      [...this.simulation.hosts.values()].map(({viewNumber: list}) => list),
    );
    usedViews.add(this.simulation.views.length - 1);
    return [...usedViews].every(number =>
      this.simulation.views[number]?.some(
        member => member !== leaving && this.hasClaimRecords(member),
      ),
    );
  }

  /** Keeps the search from ending early in a site that has lost its memory. */
  private leavesMajority(leaving: string): boolean {
    const latest = this.simulation.views.at(-1) ?? [];
    const remaining = latest.filter(
      member => member !== leaving && this.hasClaimRecords(member),
    );
    return this.leavesRecords(leaving) && remaining.length > latest.length / 2;
  }

  /** Whether a host is down, or without memory and not paused. */
  private mayRestart(name: string): boolean {
    return !this.hasClaimRecords(name) && this.leavesRecords(name);
  }

  private hasClaimRecords(name: string): boolean {
    const host = this.simulation.hosts.get(name);
    return host?.up === true && host.subject.hasClaimRecords?.() !== false;
  }

  private pickView(): number {
    const last = this.simulation.views.length - 1;
    const stale = Math.max(1, last - this.simulation.draw(0, 2));
    return this.simulation.views[stale]?.some(member =>
      this.hasClaimRecords(member),
    )
      ? stale
      : last;
  }
}

function drawState(choice: number): PeerState {
  const states = [PeerState.REACHABLE, PeerState.SUSPECTED, PeerState.DEAD];
  return states[choice % states.length] ?? PeerState.REACHABLE;
}
