import type {EngineContent} from './engine_content.js';
import type {EngineOptions} from './engine_options.js';
import type {EngineCommand} from './engine_command.js';
import {EngineCommandKind} from './engine_command_kind.js';

interface Load {
  readonly kind: EngineCommandKind;
  readonly name: string;
  readonly version: string;
  readonly readyAtMs: number;
}

/** Carries out commands; loads run one after another. */
export class EngineCommands {
  private readonly loads = new Map<string, Load>();
  private role = 'both';
  private fencing = 0;
  private loadingUntilMs = 0;

  constructor(
    private readonly options: EngineOptions,
    private readonly ignoresFencing: boolean,
  ) {}

  /** Records a model that is there from the start. */
  preload(name: string): void {
    const kind = EngineCommandKind.LOAD_MODEL;
    this.loads.set(`${kind}/${name}`, {
      kind,
      name,
      version: '',
      readyAtMs: -Infinity,
    });
  }

  /** Carries out a command; false when its fencing number is old. */
  apply(command: EngineCommand, nowMs: number): boolean {
    const {fencing, kind, name = '', version = '', role} = command;
    if (fencing < this.fencing && !this.ignoresFencing) return false;
    this.fencing = Math.max(this.fencing, fencing);
    if (kind === EngineCommandKind.SET_ROLE) {
      this.role = role ?? this.role;
      return true;
    }
    const id = `${kind}/${name}`;
    if (this.loads.get(id)?.version === version) return true;
    const {loadModelMs, loadAdapterMs} = this.options;
    const isModel = kind === EngineCommandKind.LOAD_MODEL;
    const startMs = Math.max(nowMs, this.loadingUntilMs);
    const readyAtMs = startMs + (isModel ? loadModelMs : loadAdapterMs);
    this.loadingUntilMs = readyAtMs;
    this.loads.set(id, {kind, name, version, readyAtMs});
    return true;
  }

  /** Lists the models that can be asked. */
  listModels(nowMs: number): string[] {
    return [...this.loads.values()]
      .filter(({kind}) => kind === EngineCommandKind.LOAD_MODEL)
      .filter(({readyAtMs}) => readyAtMs <= nowMs)
      .map(({name}) => name);
  }

  /** Reads what the engine serves. */
  read(nowMs: number): EngineContent {
    const loads = [...this.loads.values()].map(load => {
      const {kind, name, version, readyAtMs} = load;
      return {kind, name, version, ready: readyAtMs <= nowMs};
    });
    return {fencing: this.fencing, role: this.role, loads};
  }
}
