import {PeerState} from './peer_state.js';
import type {Simulation} from './simulation.js';

const ORDERS = 5;
const STEP_GAP_SHORT_MS = 5;
const STEP_GAP_LONG_MS = 100;
const HEAL_MS = 400;
const FINISH_MS = 2_000;

/** Performs steps given as numbers on a simulation: calls, faults, lists. */
export class FaultSteps {
  private names: number;

  constructor(private readonly simulation: Simulation) {
    this.names = simulation.hosts.size;
  }

  /** Decodes and performs random steps, then heals and resends everything. */
  perform(steps: readonly number[]): void {
    for (const step of steps) {
      this.step(step);
      this.simulation.advance(this.drawGapMs());
    }
    this.simulation.heal();
    for (const {name} of [...this.simulation.hosts.values()]) {
      this.simulation.resume(name);
    }
    for (const member of this.simulation.lists.at(-1) ?? []) {
      if (!this.simulation.hosts.get(member)?.up) {
        this.simulation.restart(member);
      }
    }
    this.simulation.advance(HEAL_MS);
    for (let index = 0; index < 2 * ORDERS; index++) this.resend(index);
    this.simulation.advance(FINISH_MS);
  }

  private resend(index: number): void {
    for (const name of this.simulation.hosts.keys()) {
      this.simulation.submit(index, name);
    }
  }

  private step(code: number): void {
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
        if (this.keepsMemory(name)) this.simulation.crash(name);
        break;
      case 6:
      case 7:
        if (this.keepsMemory(name)) {
          this.simulation.restart(name, this.pickList());
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
        this.simulation.partition(
          names.filter((_, i) => (choice >> i) % 2 === 1),
        );
        break;
      case 12:
        this.simulation.heal();
        break;
      case 13:
        this.changeList(choice, names);
        break;
      case 14:
        this.simulation.tellPeer(name, other, drawState(choice >> 3));
        break;
      case 15:
        this.stepRarely(choice, name);
        break;
    }
  }

  private drawGapMs(): number {
    const long = this.simulation.draw(0, 1) === 1;
    return this.simulation.draw(0, long ? STEP_GAP_LONG_MS : STEP_GAP_SHORT_MS);
  }

  private stepRarely(choice: number, name: string): void {
    switch (choice % 5) {
      case 0:
        for (const host of this.simulation.hosts.values()) {
          this.simulation.crash(host.name);
        }
        for (const member of this.simulation.lists.at(-1) ?? []) {
          this.simulation.restart(member);
        }
        break;
      case 1:
        if (this.keepsMemory(name)) this.simulation.close(name);
        break;
      default:
        this.resend((choice >> 4) % (2 * ORDERS));
        this.simulation.advance(this.simulation.draw(1, 30));
        if (this.keepsMemory(name)) this.simulation.restart(name);
    }
  }

  private changeList(choice: number, names: readonly string[]): void {
    const latest = this.simulation.lists.at(-1) ?? [];
    const out = choice % 3 === 0 ? -1 : choice % latest.length;
    const members = latest.filter((_, i) => i !== out || latest.length <= 3);
    const grows = choice % 3 < 2 && members.length < 9;
    const added = (choice >> 5) % 2 === 0 ? `h${this.names++}` : undefined;
    const back = names.find(known => !members.includes(known));
    const joining = added ?? back;
    if (grows && joining) members.push(joining);
    if (!members.some(member => this.remembers(member))) return;
    const told = names.filter((_, i) => (choice >> (i + 4)) % 3 > 0);
    this.simulation.publish(members, told);
  }

  /** A list all of whose members lost memory must not be in use elsewhere. */
  private keepsMemory(leaving: string): boolean {
    const used = new Set(
      [...this.simulation.hosts.values()].map(({list}) => list),
    );
    used.add(this.simulation.lists.length - 1);
    return [...used].every(number =>
      this.simulation.lists[number]?.some(
        member => member !== leaving && this.remembers(member),
      ),
    );
  }

  private remembers(name: string): boolean {
    const host = this.simulation.hosts.get(name);
    return host?.up === true && host.subject.hasMemory?.() !== false;
  }

  private pickList(): number {
    const last = this.simulation.lists.length - 1;
    const stale = Math.max(1, last - this.simulation.draw(0, 2));
    return this.simulation.lists[stale]?.some(member => this.remembers(member))
      ? stale
      : last;
  }
}

function drawState(choice: number): PeerState {
  const states = [PeerState.REACHABLE, PeerState.SUSPECTED, PeerState.DEAD];
  return states[choice % states.length] ?? PeerState.REACHABLE;
}
