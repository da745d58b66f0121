import type {
  LengthClassSettings,
  ServiceSettings,
  Settings,
} from '@parsleywood/schema/settings';
import {escapePointer} from './escape_pointer.js';
import {findDuplicates} from './find_duplicates.js';
import type {SettingsProblem} from './settings_problem.js';

/**
 * Finds violations that a schema cannot express: relations between values.
 *
 * @param settings Valid by schema, with the defaults filled in.
 */
export function findConstraintViolations(
  settings: Settings,
): SettingsProblem[] {
  return [
    ...findModelViolations(settings),
    ...findServiceViolations(settings),
    ...findDuplicateKeyHashes(settings),
    ...findClassViolations(settings),
    ...findOrderViolations(settings),
    ...findMembershipViolations(settings),
    ...findAdmissionViolations(settings),
  ];
}

function findModelViolations(settings: Settings): SettingsProblem[] {
  const enginesPerPrompt = settings.routing?.enginesPerPrompt ?? 1;
  const {maxBodyBytes} = settings.callers;
  return listEntries(settings.models).flatMap(([name, model]) => {
    const path = `/models/${escapePointer(name)}`;
    const {contextTokens, engineMemoryTokens, engines, prefillEngines} = model;
    const engineCount = Math.min(enginesPerPrompt, engines ?? enginesPerPrompt);
    const maxBodyTokens = Math.floor(maxBodyBytes / (model.bytesPerToken ?? 1));
    return [
      ...requireAtMost(
        `${path}/contextTokens`,
        contextTokens,
        engineMemoryTokens * engineCount,
        `total memory of the ${engineCount} engines that serve one prompt`,
      ),
      ...requireAtMost(
        `${path}/contextTokens`,
        contextTokens,
        maxBodyTokens,
        '/callers/maxBodyBytes divided by bytesPerToken',
      ),
      ...requireAtMost(
        `${path}/prefillEngines`,
        prefillEngines ?? 0,
        (engines ?? Infinity) - 1,
        'engines minus 1',
      ),
    ];
  });
}

function findServiceViolations(settings: Settings): SettingsProblem[] {
  return listEntries(settings.services).flatMap(([name, service]) => {
    const path = `/services/${escapePointer(name)}`;
    return [
      ...findDuplicateCalls(path, service),
      ...requireAtMost(
        `${path}/timeLimitMs`,
        service.timeLimitMs ?? 0,
        settings.timeLimits.maxMs,
        '/timeLimits/maxMs',
      ),
    ];
  });
}

function findDuplicateCalls(
  path: string,
  service: ServiceSettings,
): SettingsProblem[] {
  const calls = service.calls.map((call, index) => ({
    path: `${path}/calls/${index}`,
    value: `${call.method} ${call.path}`,
  }));
  return findDuplicates(calls, 'a call that is listed only once');
}

function findDuplicateKeyHashes(settings: Settings): SettingsProblem[] {
  const hashes = listEntries(settings.accounts).flatMap(([name, account]) =>
    account.keyHashes.map((value, index) => ({
      path: `/accounts/${escapePointer(name)}/keyHashes/${index}`,
      value,
    })),
  );
  return findDuplicates(hashes, 'a key hash that is used only once');
}

function findClassViolations(settings: Settings): SettingsProblem[] {
  const classes: readonly LengthClassSettings[] = settings.lengthClasses;
  const names = classes.map(({name}, index) => ({
    path: `/lengthClasses/${index}/name`,
    value: name,
  }));
  return [
    ...findDuplicates(names, 'a unique class name'),
    ...classes.flatMap((item, index) => {
      const path = `/lengthClasses/${index}`;
      const previousUpToTokens = classes[index - 1]?.upToTokens ?? 0;
      return [
        ...requireAbove(
          `${path}/upToTokens`,
          item.upToTokens,
          previousUpToTokens,
          'upToTokens of the previous class',
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

function findOrderViolations({orders}: Settings): SettingsProblem[] {
  return requireAbove(
    '/orders/keyMaxAgeMs',
    orders.keyMaxAgeMs,
    orders.clockSkewMs ?? 0,
    'clockSkewMs',
  );
}

function findMembershipViolations({membership}: Settings): SettingsProblem[] {
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

function findAdmissionViolations({admission}: Settings): SettingsProblem[] {
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
  boundDescription: string,
): SettingsProblem[] {
  if (value <= bound) return [];
  return [{path, value, allowed: `at most ${bound} (${boundDescription})`}];
}

function requireAbove(
  path: string,
  value: number,
  bound: number,
  boundDescription: string,
): SettingsProblem[] {
  if (value > bound) return [];
  return [{path, value, allowed: `more than ${bound} (${boundDescription})`}];
}

function listEntries<T>(map: Record<string, T | undefined>): [string, T][] {
  return Object.entries(map).filter(
    (entry): entry is [string, T] => entry[1] !== undefined,
  );
}
