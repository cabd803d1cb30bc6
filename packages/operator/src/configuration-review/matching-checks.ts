import type {Path} from '../configuration-problem.js';
import {
  FindingSeverity,
  firstWithKey,
  type ReviewFinding,
} from './review-finding.js';
import type {
  ReviewedFleet,
  ReviewedOrganisation,
  ReviewedRoute,
} from './reviewed-fleet.js';

const {Error: ERROR, Warning: WARNING} = FindingSeverity;

function routeFinding(
  route: ReviewedRoute,
  field: string | Path,
  finding: Pick<ReviewFinding, 'severity' | 'found' | 'expected'>,
): ReviewFinding {
  return {
    entry: `route ${route.name}`,
    path: ['routes', route.position, ...[field].flat()],
    ...finding,
  };
}

/** Routes that no request can match. */
function unmatchedRoutes({routes}: ReviewedFleet): ReviewFinding[] {
  const firsts = firstWithKey(
    routes,
    ({host, pathPrefix}) => `${host} ${pathPrefix}`,
  );
  return routes.flatMap((route, index) => {
    const {host, pathPrefix} = route;
    const findings: ReviewFinding[] = [];
    const first = firsts[index];
    if (first !== undefined) {
      findings.push(
        routeFinding(route, 'pathPrefix', {
          severity: ERROR,
          found: `"${pathPrefix}", which route ${first.name} of the same host has too and which hides this route`,
          expected: 'a prefix that no earlier route of the host has',
        }),
      );
    }
    if (!pathPrefix.startsWith('/')) {
      findings.push(
        routeFinding(route, 'pathPrefix', {
          severity: ERROR,
          found: `"${pathPrefix}"`,
          expected: 'a prefix that begins with a slash, as every path does',
        }),
      );
    } else if (!pathPrefix.endsWith('/')) {
      findings.push(
        routeFinding(route, 'pathPrefix', {
          severity: WARNING,
          found: `"${pathPrefix}", which matches "${pathPrefix}x" too`,
          expected: 'a prefix that ends with a slash',
        }),
      );
    }
    if (host === '' || host.includes(':')) {
      findings.push(
        routeFinding(route, 'host', {
          severity: ERROR,
          found: `"${host}"`,
          expected: 'a host name without a port',
        }),
      );
    }
    return findings;
  });
}

/** Shares of routes that get no request, or whose requests are refused. */
function unusableShares({routes, services}: ReviewedFleet): ReviewFinding[] {
  const names = new Set(services.map(({name}) => name));
  return routes.flatMap(route => {
    const findings: ReviewFinding[] = [];
    const isWeightless = route.services.every(({weight}) => weight <= 0);
    route.services.forEach(({service, weight}, index) => {
      if (weight <= 0) {
        findings.push(
          routeFinding(route, ['services', index, 'weight'], {
            severity: isWeightless || weight < 0 ? ERROR : WARNING,
            found: `weight ${weight} of service ${service}`,
            expected: isWeightless
              ? 'a weight above 0; with none, all requests go to the last service'
              : 'a weight above 0; the service gets no request of this route',
          }),
        );
      }
      if (!names.has(service)) {
        findings.push(
          routeFinding(route, ['services', index, 'service'], {
            severity: ERROR,
            found: `"${service}"`,
            expected:
              'the name of a service of this file; requests are refused',
          }),
        );
      }
    });
    return findings;
  });
}

/** Services that no route names, and those that a later one replaces. */
function unusedServices({routes, services}: ReviewedFleet): ReviewFinding[] {
  const named = new Set(
    routes.flatMap(route => route.services.map(({service}) => service)),
  );
  const firsts = firstWithKey(services, ({name}) => name);
  return services.flatMap(({name, position}, index) => {
    const path = ['services', position, 'name'];
    const entry = `service ${name}`;
    const findings: ReviewFinding[] = [];
    if (firsts[index] !== undefined) {
      findings.push({
        severity: ERROR,
        entry,
        path,
        found: `"${name}" a second time, which replaces the first`,
        expected: 'a name that no other service has',
      });
    }
    if (!named.has(name)) {
      findings.push({
        severity: WARNING,
        entry,
        path,
        found: `"${name}", which no route names`,
        expected: 'a route that names the service',
      });
    }
    return findings;
  });
}

/** Organisations that can't call, or whose keys another one gets. */
function unreachableOrganisations({
  organisations,
}: ReviewedFleet): ReviewFinding[] {
  const owners = new Map<string, ReviewedOrganisation>();
  return organisations.flatMap(organisation => {
    const {name, position, keys} = organisation;
    const path = ['organisations', position, 'keys'];
    const entry = `organisation ${name}`;
    const findings: ReviewFinding[] = [];
    if (keys.length === 0) {
      findings.push({
        severity: WARNING,
        entry,
        path,
        found: 'no key',
        expected: 'a key; without one, no request is attributed to it',
      });
    }
    keys.forEach((key, index) => {
      const owner = owners.get(key);
      if (owner !== undefined && owner !== organisation) {
        findings.push({
          severity: ERROR,
          entry,
          path: [...path, index],
          found: `a key that ${owner.name} has too and that is taken from it`,
          expected: 'a key of its own',
        });
      }
      owners.set(key, organisation);
    });
    return findings;
  });
}

function haveCommonRegion(
  one: readonly string[] | undefined,
  other: readonly string[] | undefined,
): boolean {
  return (
    one === undefined ||
    other === undefined ||
    one.some(region => other.includes(region))
  );
}

/** Routes whose regions no organisation may use; both lists bind. */
function routesWithoutRegion({
  routes,
  organisations,
}: ReviewedFleet): ReviewFinding[] {
  return routes
    .filter(
      ({allowedRegions, isPublic}) =>
        !isPublic &&
        organisations.length > 0 &&
        organisations.every(
          organisation =>
            !haveCommonRegion(allowedRegions, organisation.allowedRegions),
        ),
    )
    .map(route =>
      routeFinding(route, 'allowedRegions', {
        severity: ERROR,
        found: (route.allowedRegions ?? []).join(', '),
        expected: 'a region in which an organisation may run',
      }),
    );
}

/** Finds entries that can never match, and values that gateways ignore. */
export function matchingFindings(fleet: ReviewedFleet): ReviewFinding[] {
  return [
    ...fleet.unusable.map(({path, entry, found, expected, dropsEntry}) => ({
      severity: dropsEntry ? ERROR : WARNING,
      entry,
      path,
      found,
      expected: `${expected}; ${dropsEntry ? 'the entry is ignored' : 'the default applies'}`,
    })),
    ...unmatchedRoutes(fleet),
    ...unusableShares(fleet),
    ...unusedServices(fleet),
    ...unreachableOrganisations(fleet),
    ...routesWithoutRegion(fleet),
  ];
}
