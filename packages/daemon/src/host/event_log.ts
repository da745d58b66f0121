import type {Incarnation} from '@parsleywood/types';
import loglevel from 'loglevel';
import type {LogLevel} from './log_level.js';
import {LogSink} from './log_sink.js';

/** Fields of one log line; must not contain prompt text or keys. */
type Fields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Structured log: writes each event as one line of JSON to standard output. */
export class EventLog {
  private readonly logger = loglevel.getLogger('parsleywood');
  private readonly sink = new LogSink();

  constructor(
    private readonly incarnation: Incarnation,
    level: LogLevel,
  ) {
    this.logger.methodFactory = method => line => {
      this.sink.write(String(line), method === 'error' || method === 'warn');
    };
    this.logger.setLevel(level, false);
  }

  /** Number of lines dropped by the rate limit or the buffer limit of the log. */
  droppedLines(): number {
    return this.sink.dropped;
  }

  debug(event: string, fields: Fields = {}): void {
    if (this.logger.getLevel() > this.logger.levels.DEBUG) return;
    this.logger.debug(this.format('debug', event, fields));
  }

  info(event: string, fields: Fields = {}): void {
    if (this.logger.getLevel() > this.logger.levels.INFO) return;
    this.logger.info(this.format('info', event, fields));
  }

  warn(event: string, fields: Fields = {}): void {
    this.logger.warn(this.format('warn', event, fields));
  }

  error(event: string, fields: Fields = {}): void {
    this.logger.error(this.format('error', event, fields));
  }

  private format(level: string, event: string, fields: Fields): string {
    return JSON.stringify({
      time: new Date().toISOString(),
      level,
      event,
      host: this.incarnation.host,
      incarnation: this.incarnation.id,
      ...fields,
    });
  }
}
