/**
 * The items in random order.
 *
 * @param fraction Returns random numbers in [0, 1).
 * @example
 * ```ts
 * const [first] = inRandomOrder(hosts, () => random.fraction());
 * ```
 */
export function inRandomOrder<Item>(
  items: readonly Item[],
  fraction: () => number,
): readonly Item[] {
  return items
    .map(item => ({item, order: fraction()}))
    .sort((one, other) => one.order - other.order)
    .map(({item}) => item);
}
