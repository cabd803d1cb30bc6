import {parse} from 'jsonc-parser';
import {readFileSync} from 'node:fs';

/**
 * Reads one string setting before the whole file is validated. Returns undefined if the
 * file is unreadable or has no such string; the later validation reports why.
 *
 * @example
 * ```ts
 * readSetting('gateway.jsonc', 'callerAddress'); // '10.0.0.7:8080'
 * ```
 */
export function readSetting(
  path: string | undefined,
  name: string,
): string | undefined {
  if (path === undefined) {
    return undefined;
  }
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch {
    // The validation of the whole file reports the reason.
    return undefined;
  }
  const settings: unknown = parse(text);
  if (typeof settings !== 'object' || settings === null) {
    return undefined;
  }
  const value: unknown = Reflect.get(settings, name);
  return typeof value === 'string' ? value : undefined;
}
