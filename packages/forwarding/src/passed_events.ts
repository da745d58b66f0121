import {createHash} from 'node:crypto';

const DIGEST_BYTES = 16;
/** An event's id, and all its bytes. */
const RECORD_BYTES = 2 * DIGEST_BYTES;
const FIRST_RECORDS = 32;
const MAX_RECORDS = 32_768;

/** The events of a stream that were passed on, in order, to recognise them again. */
export class PassedEvents {
  private records = Buffer.alloc(0);
  private recorded = 0;
  private isFull = false;
  /** Place of the last event with an id, by its digest; made when it is needed. */
  private places: Map<string, number> | undefined;

  /** Number of events. */
  get length(): number {
    return this.recorded;
  }

  /** Whether more events were passed on than are kept. */
  get hasOverflowed(): boolean {
    return this.isFull;
  }

  add(id: string, event: Buffer): void {
    if (this.recorded === MAX_RECORDS) {
      this.isFull = true;
      return;
    }
    const place = this.recorded++;
    const from = place * RECORD_BYTES;
    if (from === this.records.length) this.grow();
    const idDigest = computeDigest(id);
    this.records.write(idDigest, from, 'latin1');
    this.records.write(computeDigest(event), from + DIGEST_BYTES, 'latin1');
    this.places?.set(idDigest, place);
  }

  /** Whether the event at a place, from 0 on, is this one to the byte. */
  isAt(place: number, event: Buffer): boolean {
    if (place >= this.recorded) return false;
    const from = place * RECORD_BYTES + DIGEST_BYTES;
    return this.read(from) === computeDigest(event);
  }

  /** Returns the place, from 0 on, of the last event with an id; -1 if there is none. */
  findPlace(id: string): number {
    return this.getPlaces().get(computeDigest(id)) ?? -1;
  }

  /** Whether events share an id, so that it names no place in the stream. */
  get hasRepeatedId(): boolean {
    return this.getPlaces().size < this.recorded;
  }

  private getPlaces(): Map<string, number> {
    if (this.places !== undefined) return this.places;
    this.places = new Map();
    for (let place = 0; place < this.recorded; place++) {
      this.places.set(this.read(place * RECORD_BYTES), place);
    }
    return this.places;
  }

  private read(from: number): string {
    return this.records.toString('latin1', from, from + DIGEST_BYTES);
  }

  private grow(): void {
    const bytes = Math.max(
      FIRST_RECORDS * RECORD_BYTES,
      2 * this.records.length,
    );
    const larger = Buffer.alloc(bytes);
    this.records.copy(larger);
    this.records = larger;
  }
}

/** @return A character for each byte. */
function computeDigest(bytes: Buffer | string): string {
  const digest = createHash('sha256').update(bytes).digest();
  return digest.toString('latin1', 0, DIGEST_BYTES);
}
