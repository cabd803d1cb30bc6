const JSON_TYPE = /^application\/(?:[\w.-]+\+)?json\b/i;
const ESCAPE = '\\';

/** Whether a content type is that of a JSON text. */
export function isJsonType(contentType: string): boolean {
  return JSON_TYPE.test(contentType);
}

/**
 * Whether a text ends inside a JSON value: before it begins, inside a string, or
 * with open brackets. Other errors are not looked for.
 *
 * @example
 * ```ts
 * endsInsideJson('{"number": "A-1'); // true
 * endsInsideJson('{"number": "A-1"}'); // false
 * ```
 */
export function endsInsideJson(text: string): boolean {
  let depth = 0;
  let isInString = false;
  for (let at = 0; at < text.length; at++) {
    const character = text[at];
    if (isInString) {
      if (character === ESCAPE) {
        at++;
      } else if (character === '"') {
        isInString = false;
      }
    } else if (character === '"') {
      isInString = true;
    } else if (character === '{' || character === '[') {
      depth++;
    } else if (character === '}' || character === ']') {
      depth--;
    }
  }
  return isInString || depth > 0 || text.trim() === '';
}
