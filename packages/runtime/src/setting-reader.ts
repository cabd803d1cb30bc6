import {parse} from 'jsonc-parser';
import {readFileSync} from 'node:fs';

/**
 * One setting that is a text, before the settings are checked as a whole; undefined
 * where there is none. What is wrong with the file is told by that check.
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
    // The check of the whole file names the reason.
    return undefined;
  }
  const settings: unknown = parse(text);
  if (typeof settings !== 'object' || settings === null) {
    return undefined;
  }
  const value: unknown = Reflect.get(settings, name);
  return typeof value === 'string' ? value : undefined;
}
