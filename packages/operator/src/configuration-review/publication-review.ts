import {
  EndpointState,
  ServiceKind,
  type Configuration,
  type Service,
} from '@wisteriadeal/schema';

import type {ConfigurationChange} from '../configuration-difference.js';
import {FindingSeverity, type ReviewFinding} from './review-finding.js';

const {Error: ERROR, Warning: WARNING} = FindingSeverity;

/** Finds services that no request reaches, and models that no service serves. */
function unusedEntries(configuration: Configuration): ReviewFinding[] {
  const {services, organisations, endpoints, models} = configuration;
  const called = new Set(organisations.flatMap(row => row.services));
  const served = new Set(services.flatMap(row => row.models));
  const active = new Set(
    endpoints
      .filter(({state}) => state === EndpointState.ACTIVE)
      .map(({service}) => service),
  );
  const findings: ReviewFinding[] = [];
  services.forEach((service, index) => {
    const {name, kind} = service;
    const entry = `service ${name}`;
    if (!called.has(name)) {
      findings.push({
        severity: WARNING,
        entry,
        path: ['services', index, 'name'],
        found: `"${name}", which no organisation may call`,
        expected: 'an organisation that names the service',
      });
    }
    if (!active.has(name)) {
      findings.push({
        severity: ERROR,
        entry,
        path: ['services', index, 'name'],
        found: 'no active endpoint',
        expected: 'an endpoint in the active state',
      });
    }
    const offers = kind === ServiceKind.MODEL ? 'models' : 'calls';
    if (service[offers].length === 0) {
      findings.push({
        severity: ERROR,
        entry,
        path: ['services', index, offers],
        found: `no ${offers}`,
        expected: 'at least one',
      });
    }
  });
  models.forEach(({name}, index) => {
    if (!served.has(name)) {
      findings.push({
        severity: WARNING,
        entry: `model ${name}`,
        path: ['models', index, 'name'],
        found: `"${name}", which no service serves`,
        expected: 'a service that names the model',
      });
    }
  });
  return findings;
}

/** Tokens of the largest answer or call of a service, without its prompt. */
function largestAnswerTokens(
  service: Service,
  {models}: Configuration,
): number {
  return Math.max(
    0,
    ...service.calls.map(({tokens}) => tokens),
    ...models
      .filter(({name}) => service.models.includes(name))
      .map(({maximumOutputTokens}) => maximumOutputTokens),
  );
}

function organisationFindings(configuration: Configuration): ReviewFinding[] {
  const {organisations, services} = configuration;
  return organisations.flatMap((organisation, index) => {
    const entry = `organisation ${organisation.name}`;
    const findings: ReviewFinding[] = [];
    for (const field of ['callers', 'services'] as const) {
      if (organisation[field].length === 0) {
        findings.push({
          severity: WARNING,
          entry,
          path: ['organisations', index, field],
          found: `no ${field}`,
          expected: 'at least one; without it, no request of it is served',
        });
      }
    }
    const largest = Math.max(
      0,
      ...services
        .filter(({name}) => organisation.services.includes(name))
        .map(service => largestAnswerTokens(service, configuration)),
    );
    if (organisation.openingBudgetTokens < largest) {
      findings.push({
        severity: WARNING,
        entry,
        path: ['organisations', index, 'openingBudgetTokens'],
        found: `${organisation.openingBudgetTokens} tokens`,
        expected: `at least one largest answer, ${largest} tokens, unless topped up`,
      });
    }
    return findings;
  });
}

function limitFindings({limits}: Configuration): ReviewFinding[] {
  if (limits === undefined) {
    return [];
  }
  const {
    interactiveDeadlineMilliseconds: interactive,
    batchDeadlineMilliseconds: batch,
  } = limits;
  return interactive > batch
    ? [
        {
          severity: WARNING,
          entry: 'limits',
          path: ['limits', 'interactiveDeadlineMilliseconds'],
          found: `${interactive} ms`,
          expected: `at most the deadline of batch requests, ${batch} ms`,
        },
      ]
    : [];
}

/**
 * Reviews a valid configuration that is published to the log. Times are
 * milliseconds, budgets tokens.
 *
 * @example
 * ```ts
 * const findings = reviewPublication(fleet.build());
 * ```
 */
export function reviewPublication(
  configuration: Configuration,
): readonly ReviewFinding[] {
  return [
    ...unusedEntries(configuration),
    ...organisationFindings(configuration),
    ...limitFindings(configuration),
  ];
}

/** States what a change of a published configuration does to requests. */
export function publicationEffects({
  details,
}: ConfigurationChange): readonly string[] {
  return details.some(detail => detail.endsWith('-> "ENDPOINT_STATE_LEAVING"'))
    ? ['Requests in progress complete; the endpoint gets no new ones.']
    : [];
}
