import type {Call, Caller, Limits} from '@wisteriadeal/schema';

import type {ConfigurationProblem, Path} from './configuration-problem.js';
import {checkText, checkTokens, checkWhole, PATTERNS} from './value-checks.js';

/** Refuses a name that was used before, and remembers it. */
export function checkUnused(
  used: Set<string>,
  name: string,
  path: Path,
): ConfigurationProblem[] {
  if (used.has(name)) {
    return [{path, expected: `a name that is not used yet, not "${name}"`}];
  }
  used.add(name);
  return [];
}

/** Refuses a reference to something that is not defined. */
export function checkKnown(
  known: ReadonlySet<string>,
  name: string,
  kind: string,
  path: Path,
): ConfigurationProblem[] {
  return known.has(name)
    ? []
    : [
        {
          path,
          expected: `a ${kind} that is defined (${[...known].join(', ') || 'there is none yet'}), not "${name}"`,
        },
      ];
}

/** Checks one call of a plain service. */
export function checkCall(call: Call, path: Path): ConfigurationProblem[] {
  return [
    ...checkText(call.name, PATTERNS.name, [...path, 'name']),
    ...checkText(call.method, PATTERNS.method, [...path, 'method']),
    ...checkText(call.path, PATTERNS.path, [...path, 'path']),
    ...checkTokens(call.tokens, [...path, 'tokens']),
    ...(call.outcomePath === ''
      ? []
      : checkText(call.outcomePath, PATTERNS.path, [...path, 'outcomePath'])),
  ];
}

/** Checks one caller by itself. */
export function checkCaller(
  caller: Caller,
  path: Path,
): ConfigurationProblem[] {
  return [
    ...checkText(caller.name, PATTERNS.name, [...path, 'name']),
    ...checkText(caller.credentialSha256, PATTERNS.sha256, [
      ...path,
      'credentialSha256',
    ]),
  ];
}

/** Checks the limits. */
export function checkLimits(
  limits: Limits | undefined,
): readonly ConfigurationProblem[] {
  if (limits === undefined) {
    return [{path: ['limits'], expected: 'an object'}];
  }
  return (
    [
      'maximumBodyBytes',
      'requestReceiveTimeoutMilliseconds',
      'interactiveDeadlineMilliseconds',
      'batchDeadlineMilliseconds',
      'keptAnswerMilliseconds',
    ] as const
  ).flatMap(key => checkWhole(limits[key], 1, ['limits', key]));
}
