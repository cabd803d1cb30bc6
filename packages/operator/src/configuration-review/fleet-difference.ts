import {
  ChangeKind,
  type ConfigurationChange,
} from '../configuration-difference.js';
import {FindingSeverity, type ReviewFinding} from './review-finding.js';
import type {
  ReviewedFleet,
  ReviewedOrganisation,
  ReviewedRoute,
} from './reviewed-fleet.js';

/** A difference between two versions and what it does to requests. */
export interface ReviewedChange extends ConfigurationChange {
  /** One sentence per consequence; empty if none is known. */
  readonly effects: readonly string[];
}

type Named = Readonly<Record<string, unknown>> & {readonly name: string};

const ROUTE_REMOVED =
  'Requests in progress keep their route; later ones get 404, unless a shorter prefix of the host matches.';
const ROUTE_MOVED =
  'Requests in progress keep their route; later ones match by the new host and prefix.';
const DEADLINE_CHANGED =
  'Requests in progress keep the deadline that they began with; later ones get the new limit.';
const SERVICES_CHANGED =
  'Requests in progress stay at the service that they were assigned to; later ones follow the new services.';
const SERVICE_REMOVED =
  'Requests in progress continue; later ones of routes that name the service are refused as not run.';
const KEY_REVOKED =
  'Requests in progress continue; later ones with the key get 401, or run unattributed on public routes and where no organisation is left.';
const BUDGET_LOWERED =
  'Reservations of requests in progress stay; hosts return unreserved granted tokens.';

const BUDGET_REMOVED =
  'Running hosts keep the former budget until they restart; restarted hosts apply none.';

const ROUTE_EFFECTS: Readonly<Record<string, string>> = {
  host: ROUTE_MOVED,
  pathPrefix: ROUTE_MOVED,
  timeoutMilliseconds: DEADLINE_CHANGED,
  services: SERVICES_CHANGED,
};

function compareFields<Item extends Named>(
  before: Item,
  after: Item,
): readonly (readonly [string, string])[] {
  const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...keys]
    .filter(key => key !== 'position' && key !== 'keys')
    .flatMap(key => {
      const oldValue = JSON.stringify(before[key] ?? null);
      const newValue = JSON.stringify(after[key] ?? null);
      return oldValue === newValue
        ? []
        : [[key, `${key}: ${oldValue} -> ${newValue}`] as const];
    });
}

/** Says how changed entries of one list affect requests. */
interface ListEffects<Item extends Named> {
  /** Singular of the list's name. */
  readonly kind: string;
  removed(item: Item): readonly string[];
  changed(before: Item, after: Item, fields: readonly string[]): string[];
  /** Differences that must not be shown as values. */
  hiddenDetails?(before: Item, after: Item): readonly string[];
}

/** Entries by name; of equal names, each by its order. */
function byName<Item extends Named>(items: readonly Item[]): Map<string, Item> {
  const counts = new Map<string, number>();
  return new Map(
    items.map(item => {
      const count = (counts.get(item.name) ?? 0) + 1;
      counts.set(item.name, count);
      return [`${count} ${item.name}`, item];
    }),
  );
}

function compareList<Item extends Named>(
  before: readonly Item[],
  after: readonly Item[],
  effects: ListEffects<Item>,
): ReviewedChange[] {
  const previous = byName(before);
  const changes: ReviewedChange[] = [];
  for (const [key, item] of byName(after)) {
    const entry = `${effects.kind} ${item.name}`;
    const old = previous.get(key);
    previous.delete(key);
    if (old === undefined) {
      changes.push({
        kind: ChangeKind.Added,
        item: entry,
        details: [],
        effects: [],
      });
      continue;
    }
    const fields = compareFields(old, item);
    const details = [
      ...fields.map(([, detail]) => detail),
      ...(effects.hiddenDetails?.(old, item) ?? []),
    ];
    if (details.length > 0) {
      const names = fields.map(([name]) => name);
      changes.push({
        kind: ChangeKind.Changed,
        item: entry,
        details,
        effects: [...new Set(effects.changed(old, item, names))],
      });
    }
  }
  for (const item of previous.values()) {
    changes.push({
      kind: ChangeKind.Removed,
      item: `${effects.kind} ${item.name}`,
      details: [],
      effects: effects.removed(item),
    });
  }
  return changes;
}

function missingKeys(
  {keys}: ReviewedOrganisation,
  other: ReviewedOrganisation,
): number {
  return keys.filter(key => !other.keys.includes(key)).length;
}

const ROUTES: ListEffects<ReviewedRoute & Named> = {
  kind: 'route',
  removed: () => [ROUTE_REMOVED],
  changed: (_before, _after, fields) =>
    fields.flatMap(field => ROUTE_EFFECTS[field] ?? []),
};

const SERVICES: ListEffects<Named> = {
  kind: 'service',
  removed: () => [SERVICE_REMOVED],
  changed: () => [],
};

const ORGANISATIONS: ListEffects<ReviewedOrganisation & Named> = {
  kind: 'organisation',
  removed: ({keys}) => (keys.length > 0 ? [KEY_REVOKED] : []),
  changed: (before, after) => [
    ...(missingKeys(before, after) > 0 ? [KEY_REVOKED] : []),
    ...(before.prepaid !== undefined && after.prepaid === undefined
      ? [BUDGET_REMOVED]
      : []),
    ...((after.prepaid ?? Infinity) < (before.prepaid ?? 0)
      ? [BUDGET_LOWERED]
      : []),
  ],
  hiddenDetails: (before, after) => {
    const removed = missingKeys(before, after);
    const added = missingKeys(after, before);
    return removed + added > 0
      ? [`keys: ${removed} removed, ${added} added`]
      : [];
  },
};

/**
 * Compares a gateway configuration with the version in force, entry by entry,
 * and states what each change does to requests in progress. Keys are counted,
 * not shown.
 */
export function fleetDifference(
  before: ReviewedFleet,
  after: ReviewedFleet,
): readonly ReviewedChange[] {
  return [
    ...compareList<ReviewedRoute & Named>(
      before.routes.map(route => ({...route})),
      after.routes.map(route => ({...route})),
      ROUTES,
    ),
    ...compareList<Named>(
      before.services.map(service => ({...service})),
      after.services.map(service => ({...service})),
      SERVICES,
    ),
    ...compareList<ReviewedOrganisation & Named>(
      before.organisations.map(organisation => ({...organisation})),
      after.organisations.map(organisation => ({...organisation})),
      ORGANISATIONS,
    ),
  ];
}

/** Finds a version that gateways ignore because a newer one is in force. */
export function versionFindings(
  before: ReviewedFleet,
  after: ReviewedFleet,
): readonly ReviewFinding[] {
  return after.version > before.version
    ? []
    : [
        {
          severity: FindingSeverity.Error,
          entry: 'version',
          path: ['version'],
          found: String(after.version),
          expected: `a number above ${before.version}, the version in force; otherwise gateways ignore the file`,
        },
      ];
}
