import {validateConfiguration} from '@wisteriadeal/ledger';
import {
  ExitCode,
  formatSettingsProblem,
  loadSettings,
} from '@wisteriadeal/runtime';
import {ConfigurationSchema, type Configuration} from '@wisteriadeal/schema';

import {CommandError} from './command-error.js';

/** Applies the rules of the fold, as problems of a file. */
export function configurationProblems(configuration: Configuration) {
  return validateConfiguration(configuration).map(({path, message}) => ({
    path,
    expected: message.replace(/^expected /, ''),
  }));
}

/**
 * Reads a configuration file and validates it with the rules of the fold.
 *
 * @throws CommandError with one line per problem: file, line, key and what was
 *     expected.
 */
export function loadConfiguration(file: string): Configuration {
  const result = loadSettings(ConfigurationSchema, file, configurationProblems);
  if (result.err) {
    throw new CommandError(
      ExitCode.InvalidInput,
      result.val.map(formatSettingsProblem).join('\n'),
      'Correct the lines named above and run "wisteriadeal check" again.',
    );
  }
  return result.val;
}
