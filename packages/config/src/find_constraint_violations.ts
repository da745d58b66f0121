import type {
  LengthClassSettings,
  ServiceSettings,
  Settings,
} from '@parsleywood/schema/settings';
import {escapePointer} from './escape_pointer.js';
import {findRepeated} from './find_duplicates.js';
import type {SettingsProblem} from './settings_problem.js';

/**
 * Finds what a schema cannot say of settings: relations between values.
 *
 * @param settings Valid by schema, with defaults.
 */
export function findSettingsFaults(settings: Settings): SettingsProblem[] {
  return [
    ...findModelFaults(settings),
    ...findServiceFaults(settings),
    ...findKeyFaults(settings),
    ...findClassFaults(settings),
    ...findOrderFaults(settings),
    ...findMembershipFaults(settings),
    ...findAdmissionFaults(settings),
  ];
}

function findModelFaults(settings: Settings): SettingsProblem[] {
  const enginesPerPrompt = settings.routing?.enginesPerPrompt ?? 1;
  const {maxBodyBytes} = settings.callers;
  return entriesOf(settings.models).flatMap(([name, model]) => {
    const path = `/models/${escapePointer(name)}`;
    const {contextTokens, engineMemoryTokens, engines, prefillEngines} = model;
    const spread = Math.min(enginesPerPrompt, engines ?? enginesPerPrompt);
    const bodyTokens = Math.floor(maxBodyBytes / (model.bytesPerToken ?? 1));
    return [
      ...requireAtMost(
        `${path}/contextTokens`,
        contextTokens,
        engineMemoryTokens * spread,
        `the memory of the ${spread} engines of one prompt`,
      ),
      ...requireAtMost(
        `${path}/contextTokens`,
        contextTokens,
        bodyTokens,
        '/callers/maxBodyBytes over bytesPerToken',
      ),
      ...requireAtMost(
        `${path}/prefillEngines`,
        prefillEngines ?? 0,
        (engines ?? Infinity) - 1,
        'one engine less than engines',
      ),
    ];
  });
}

function findServiceFaults(settings: Settings): SettingsProblem[] {
  return entriesOf(settings.services).flatMap(([name, service]) => {
    const path = `/services/${escapePointer(name)}`;
    return [
      ...findCallFaults(path, service),
      ...requireAtMost(
        `${path}/timeLimitMs`,
        service.timeLimitMs ?? 0,
        settings.timeLimits.maxMs,
        '/timeLimits/maxMs',
      ),
    ];
  });
}

function findCallFaults(
  path: string,
  service: ServiceSettings,
): SettingsProblem[] {
  const calls = service.calls.map((call, index) => ({
    path: `${path}/calls/${index}`,
    value: `${call.method} ${call.path}`,
  }));
  return findRepeated(calls, 'a call that is not listed before');
}

function findKeyFaults(settings: Settings): SettingsProblem[] {
  const hashes = entriesOf(settings.accounts).flatMap(([name, account]) =>
    account.keyHashes.map((value, index) => ({
      path: `/accounts/${escapePointer(name)}/keyHashes/${index}`,
      value,
    })),
  );
  return findRepeated(hashes, 'a key hash that no account has before');
}

function findClassFaults(settings: Settings): SettingsProblem[] {
  const classes: readonly LengthClassSettings[] = settings.lengthClasses;
  const names = classes.map(({name}, index) => ({
    path: `/lengthClasses/${index}/name`,
    value: name,
  }));
  return [
    ...findRepeated(names, 'a name that no class has before'),
    ...classes.flatMap((item, index) => {
      const path = `/lengthClasses/${index}`;
      const below = classes[index - 1]?.upToTokens ?? 0;
      return [
        ...requireAbove(
          `${path}/upToTokens`,
          item.upToTokens,
          below,
          'upToTokens of the class before',
        ),
        ...requireAtMost(
          `${path}/timeLimitMs`,
          item.timeLimitMs,
          settings.timeLimits.maxMs,
          '/timeLimits/maxMs',
        ),
        ...requireAtMost(
          `${path}/firstTokenTargetMs`,
          item.firstTokenTargetMs,
          item.timeLimitMs,
          'timeLimitMs of the class',
        ),
      ];
    }),
  ];
}

function findOrderFaults({orders}: Settings): SettingsProblem[] {
  return requireAbove(
    '/orders/keyMaxAgeMs',
    orders.keyMaxAgeMs,
    orders.clockSkewMs ?? 0,
    'clockSkewMs',
  );
}

function findMembershipFaults({membership}: Settings): SettingsProblem[] {
  const {
    probeIntervalMs = 0,
    suspectAfterMs = Infinity,
    deadAfterMs = Infinity,
  } = membership ?? {};
  return [
    ...requireAbove(
      '/membership/suspectAfterMs',
      suspectAfterMs,
      probeIntervalMs,
      'probeIntervalMs',
    ),
    ...requireAbove(
      '/membership/deadAfterMs',
      deadAfterMs,
      Math.min(suspectAfterMs, Number.MAX_VALUE),
      'suspectAfterMs',
    ),
  ];
}

function findAdmissionFaults({admission}: Settings): SettingsProblem[] {
  const {
    minConcurrentRequests = 0,
    maxConcurrentRequests = Infinity,
    retryAfterMinMs = 0,
    retryAfterMaxMs = Infinity,
  } = admission ?? {};
  return [
    ...requireAtMost(
      '/admission/minConcurrentRequests',
      minConcurrentRequests,
      maxConcurrentRequests,
      'maxConcurrentRequests',
    ),
    ...requireAtMost(
      '/admission/retryAfterMinMs',
      retryAfterMinMs,
      retryAfterMaxMs,
      'retryAfterMaxMs',
    ),
  ];
}

function requireAtMost(
  path: string,
  value: number,
  bound: number,
  name: string,
): SettingsProblem[] {
  if (value <= bound) return [];
  return [{path, value, allowed: `at most ${bound}, ${name}`}];
}

function requireAbove(
  path: string,
  value: number,
  bound: number,
  name: string,
): SettingsProblem[] {
  if (value > bound) return [];
  return [{path, value, allowed: `more than ${bound}, ${name}`}];
}

function entriesOf<T>(map: Record<string, T | undefined>): [string, T][] {
  return Object.entries(map).filter(
    (entry): entry is [string, T] => entry[1] !== undefined,
  );
}
