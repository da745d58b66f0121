import type {PublishedValue} from '@parsleywood/schema/configuration';
import type {Settings} from '@parsleywood/schema/settings';
import {Result} from 'true-myth/result';
import {checkSettings} from './check_settings.js';
import type {ConfigurationAction} from './configuration_action.js';
import {ConfigurationActionKind} from './configuration_action_kind.js';
import type {ConfigurationProblem} from './configuration_problem.js';
import {ConfigurationProblemKind} from './configuration_problem_kind.js';
import {describeRefusal} from './describe_refusal.js';
import {mergeSettings} from './merge_settings.js';
import {parseSettings} from './parse_settings.js';
import type {SettingsProblem} from './settings_problem.js';
import type {ValueGroup} from './value_group.js';

/** The settings of one site: the base of all sites merged with its overlay. */
export class SettingsGroup implements ValueGroup {
  readonly keys: readonly string[];
  readonly isNeededAtStart = false;

  constructor(private readonly site: string) {
    this.keys = ['base', `sites/${site}`];
  }

  check(
    values: readonly PublishedValue[],
  ): Result<ConfigurationAction, ConfigurationProblem> {
    const [base, overlay] = values;
    return this.merge(base?.text ?? '', overlay?.text ?? '').match({
      Ok: settings =>
        Result.ok({
          kind: ConfigurationActionKind.APPLY_SETTINGS,
          revision: {
            base: base?.revision ?? 0,
            overlay: overlay?.revision ?? 0,
          },
          settings,
        }),
      Err: problems => {
        const kind = ConfigurationProblemKind.SETTINGS_REFUSED;
        return Result.err(describeRefusal(kind, values, problems));
      },
    });
  }

  private merge(
    base: string,
    overlay: string,
  ): Result<Settings, SettingsProblem[]> {
    return parseSettings(base)
      .andThen(parsedBase =>
        parseSettings(overlay).map(patch => mergeSettings(parsedBase, patch)),
      )
      .mapErr(problem => [problem])
      .andThen(checkSettings)
      .andThen(settings => this.checkSite(settings));
  }

  private checkSite(settings: Settings): Result<Settings, SettingsProblem[]> {
    const {name} = settings.site;
    if (name === this.site) return Result.ok(settings);
    const allowed = `the name of this site (${JSON.stringify(this.site)})`;
    return Result.err([{path: '/site/name', value: name, allowed}]);
  }
}
