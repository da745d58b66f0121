import {randomUUID} from 'node:crypto';
import fastify, {type FastifyInstance} from 'fastify';
import {addAttemptRoutes} from './add_attempt_routes.js';
import {addMemoryRoutes} from './add_memory_routes.js';
import {addReportRoutes} from './add_report_routes.js';
import {ENGINE_DEFAULTS} from './engine_defaults.js';
import type {EngineFaults} from './engine_faults.js';
import type {EngineOptions} from './engine_options.js';
import {crashServer} from './crash_server.js';
import {EngineCommands} from './engine_commands.js';
import {EngineRunner} from './engine_runner.js';
import type {EngineStart} from './engine_start.js';
import {listen} from './listen.js';
import {pause} from './pause.js';
import type {RunningEngine} from './running_engine.js';
import {scaleEngine} from './scale_engine.js';
import type {StandIn} from './stand_in.js';

const MAX_BODY_BYTES = 8 * 1_048_576;

/** Starts a model engine. */
export async function startEngine(start: EngineStart = {}): Promise<StandIn> {
  const server = fastify({
    bodyLimit: MAX_BODY_BYTES,
    forceCloseConnections: true,
  });
  const options = scaleEngine(
    {...ENGINE_DEFAULTS, ...start.options},
    start.speed ?? 1,
  );
  const engine = new LocalEngine(server, options, start);
  server.addHook('preHandler', async request => {
    if (request.url === '/faults') return;
    await pause(engine.runner.frozenUntilMs - engine.runner.nowMs());
    engine.renewModels();
  });
  addAttemptRoutes(server, engine);
  addMemoryRoutes(server, engine);
  addReportRoutes(server, engine);
  const standIn = await listen(server, start.port ?? 0);
  return {
    ...standIn,
    close: async () => {
      engine.close();
      await standIn.close();
    },
  };
}

class LocalEngine implements RunningEngine {
  readonly runner: EngineRunner;
  commands: EngineCommands;
  crashes = 0;
  incarnation = randomUUID();
  private restart: NodeJS.Timeout | undefined;

  constructor(
    private readonly server: FastifyInstance,
    readonly options: EngineOptions,
    private readonly start: EngineStart,
  ) {
    this.runner = new EngineRunner(options);
    this.commands = this.makeCommands();
  }

  /** Lets the model serve what has been loaded. */
  renewModels(): void {
    const {models} = this.runner.model;
    const nowMs = this.runner.nowMs();
    for (const name of this.commands.listModels(nowMs)) models.add(name);
  }

  setFaults(faults: EngineFaults): void {
    const {crash, ...others} = faults;
    this.runner.setFaults(others);
    if (crash) setImmediate(() => this.crash());
  }

  crash(): void {
    this.crashes++;
    if (this.start.onCrash) {
      this.start.onCrash();
      return;
    }
    this.runner.reset();
    this.incarnation = randomUUID();
    this.commands = this.makeCommands();
    this.restart = crashServer(this.server, this.start.restartAfterMs ?? 0);
  }

  /** Ends the timers. */
  close(): void {
    clearTimeout(this.restart);
    this.runner.close();
  }

  private makeCommands(): EngineCommands {
    const ignores = this.start.ignoresFencing ?? false;
    const commands = new EngineCommands(this.options, ignores);
    for (const name of this.start.models ?? []) commands.preload(name);
    return commands;
  }
}
