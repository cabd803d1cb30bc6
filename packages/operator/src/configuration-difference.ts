import {toJson} from '@bufbuild/protobuf';
import {ConfigurationSchema, type Configuration} from '@wisteriadeal/schema';

/** How an item differs between two configurations. */
export enum ChangeKind {
  Added = 'added',
  Removed = 'removed',
  Changed = 'changed',
}

/** One item that differs between two configurations. */
export interface ConfigurationChange {
  readonly kind: ChangeKind;
  /** List and name, such as `organisations kigali-bar-school`, or `limits`. */
  readonly item: string;
  /**
   * For a changed item, one line per changed key with its old and new value as
   * JSON; otherwise empty.
   */
  readonly details: readonly string[];
}

type JsonFields = Readonly<Record<string, unknown>>;

const ITEM_LISTS = [
  'models',
  'services',
  'endpoints',
  'organisations',
] as const;

function itemsOf(configuration: Configuration | undefined) {
  const items = new Map<string, JsonFields>();
  if (configuration === undefined) {
    return items;
  }
  const json = toJson(ConfigurationSchema, configuration, {
    alwaysEmitImplicit: true,
  }) as Readonly<Record<string, unknown>>;
  for (const list of ITEM_LISTS) {
    for (const item of json[list] as readonly JsonFields[]) {
      items.set(`${list} ${String(item.name)}`, item);
    }
  }
  if (json.limits !== undefined) {
    items.set('limits', json.limits as JsonFields);
  }
  return items;
}

function changedKeys(before: JsonFields, after: JsonFields): string[] {
  return Object.keys(after).flatMap(key => {
    const oldValue = JSON.stringify(before[key] ?? null);
    const newValue = JSON.stringify(after[key] ?? null);
    return oldValue === newValue ? [] : [`${key}: ${oldValue} -> ${newValue}`];
  });
}

/**
 * Compares two configurations item by item, regardless of the order of their
 * lists.
 *
 * @param before The configuration in force; undefined if there is none.
 * @example
 * ```ts
 * configurationDifference(fold.configuration, fleet.build()).map(formatChange);
 * ```
 */
export function configurationDifference(
  before: Configuration | undefined,
  after: Configuration,
): readonly ConfigurationChange[] {
  const itemsBefore = itemsOf(before);
  const changes: ConfigurationChange[] = [];
  for (const [item, fields] of itemsOf(after)) {
    const previous = itemsBefore.get(item);
    itemsBefore.delete(item);
    if (previous === undefined) {
      changes.push({kind: ChangeKind.Added, item, details: []});
      continue;
    }
    const details = changedKeys(previous, fields);
    if (details.length > 0) {
      changes.push({kind: ChangeKind.Changed, item, details});
    }
  }
  for (const item of itemsBefore.keys()) {
    changes.push({kind: ChangeKind.Removed, item, details: []});
  }
  return changes;
}

const CHANGE_SIGNS: Readonly<Record<ChangeKind, string>> = {
  [ChangeKind.Added]: '+',
  [ChangeKind.Removed]: '-',
  [ChangeKind.Changed]: '~',
};

/** Formats a change as one or more lines of text. */
export function formatChange(change: ConfigurationChange): string {
  return [
    `${CHANGE_SIGNS[change.kind]} ${change.item}`,
    ...change.details.map(detail => `    ${detail}`),
  ].join('\n');
}
