import type {PromptUsage} from './prompt_usage.js';

const DEFAULT_BYTES_PER_TOKEN = 4;
const MIN_BYTES_PER_TOKEN = 0.5;
const MAX_BYTES_PER_TOKEN = 16;
/** Maximum factor by which one report can change the ratio. */
const MAX_STEP_FACTOR = 1.15;
const SMOOTHING_WEIGHT = 0.2;
const MAX_ENTRIES = 4096;

/**
 * Estimates prompt tokens from bytes; usage reports of the engines correct the
 * ratio.
 */
export class PromptTokenEstimator {
  /**
   * Logarithm of bytes per token by account and model, least recently updated
   * first.
   */
  private readonly logRatios = new Map<string, number>();

  /** @param bytesPerToken Initial ratio of a model; 4 when undefined. */
  constructor(
    private readonly bytesPerToken: (model: string) => number | undefined,
  ) {}

  /** Estimated prompt tokens of a prompt of this size; at least 1. */
  estimateTokens(account: string, model: string, bytes: number): number {
    const logRatio = this.logRatios.get(toKey(account, model));
    const ratio =
      logRatio === undefined ? this.initialRatio(model) : Math.exp(logRatio);
    return Math.max(1, Math.ceil(bytes / ratio));
  }

  /**
   * Corrects the ratio of the account and model. Reports without a finite
   * positive ratio are ignored.
   */
  observeUsage(usage: PromptUsage): void {
    const {account, model, bytes, tokens} = usage;
    if (!(bytes > 0) || !(tokens > 0) || !Number.isFinite(bytes / tokens)) {
      return;
    }
    const key = toKey(account, model);
    const before =
      this.logRatios.get(key) ?? Math.log(this.initialRatio(model));
    const step = Math.log(MAX_STEP_FACTOR);
    const change = SMOOTHING_WEIGHT * (Math.log(bytes / tokens) - before);
    const after = before + clamp(change, -step, step);
    this.logRatios.delete(key);
    this.logRatios.set(
      key,
      clamp(
        after,
        Math.log(MIN_BYTES_PER_TOKEN),
        Math.log(MAX_BYTES_PER_TOKEN),
      ),
    );
    this.dropOldest();
  }

  private dropOldest(): void {
    if (this.logRatios.size <= MAX_ENTRIES) return;
    for (const key of this.logRatios.keys()) {
      this.logRatios.delete(key);
      return;
    }
  }

  private initialRatio(model: string): number {
    return this.bytesPerToken(model) ?? DEFAULT_BYTES_PER_TOKEN;
  }
}

function toKey(account: string, model: string): string {
  return `${model}\n${account}`;
}

function clamp(value: number, low: number, high: number): number {
  return Math.min(high, Math.max(low, value));
}
