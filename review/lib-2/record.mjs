// The record of a case, and its end: 1 if the rule was broken, 0 if it held, 2 if the
// case could not run.
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';
import {setTimeout} from 'node:timers';

/** Whether the disruption is left out. */
export const IS_CALM = process.env.TROUBLE === '0';

export class Record {
  constructor(folder) {
    this.file = join(folder, 'record.txt');
    this.lines = [`trouble: ${IS_CALM ? 'none' : 'as in claim.txt'}`];
    this.startMs = Date.now();
  }

  note(line) {
    const atS = ((Date.now() - this.startMs) / 1000).toFixed(2);
    this.lines.push(`${atS} s ${line}`);
  }

  save() {
    writeFileSync(this.file, `${this.lines.join('\n')}\n`);
  }
}

/**
 * Runs a case within its time.
 *
 * @param run Runs it, and returns what broke the rule; empty if it held.
 * @param stop Ends what was started.
 */
export async function runCase(record, run, stop, limitMs = 110_000) {
  let code = 2;
  process.on('uncaughtException', error => {
    record.note(`the case could not run: ${error.stack ?? error}`);
    record.save();
    stop();
    process.exit(2);
  });
  const late = setTimeout(() => {
    record.note('the case did not end in time');
    record.save();
    stop();
    process.exit(2);
  }, limitMs);
  late.unref();
  try {
    const faults = await run();
    for (const fault of faults) record.note(`BROKEN: ${fault}`);
    record.note(faults.length > 0 ? 'the rule was broken' : 'the rule held');
    code = faults.length > 0 ? 1 : 0;
  } catch (error) {
    record.note(`the case could not run: ${error.stack ?? error}`);
  }
  record.save();
  stop();
  process.exit(code);
}
