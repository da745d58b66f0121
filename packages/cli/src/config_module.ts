import type {Failure} from '@parsleywood/errors';
import type {Result} from 'true-myth';

/** The functions of `@parsleywood/config` that the `config` commands call. */
export interface ConfigModule {
  readSettingsFile(path: string): Result<unknown, Failure>;
  mergeSettings(base: unknown, overlay: unknown): unknown;
  checkSettings(value: unknown): Result<
    unknown,
    readonly {
      readonly path: string;
      readonly value: unknown;
      readonly allowed: string;
    }[]
  >;
  explainSettings(
    base: unknown,
    overlay: unknown,
  ): readonly {
    readonly path: string;
    readonly value: unknown;
    readonly source: string;
  }[];
  compareSettings(
    before: unknown,
    after: unknown,
  ): readonly {
    readonly path: string;
    readonly before: unknown;
    readonly after: unknown;
  }[];
}
