/** Sends the load of one plan, given as JSON, and prints what it measured. */
import {LoadGenerator} from './load_generator.js';
import type {LoadPlan} from './load_plan.js';

const plan = JSON.parse(process.argv[2] ?? '{}') as LoadPlan;
const result = await new LoadGenerator(plan).run();
process.stdout.write(`${JSON.stringify(result)}\n`);
