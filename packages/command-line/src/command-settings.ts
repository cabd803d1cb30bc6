import {loadSettings, type SchemaMismatch} from '@wisteriadeal/runtime';
import {
  CommandLineSettingsSchema,
  type CommandLineSettings,
  type PlatformSettings,
} from '@wisteriadeal/schema';

import {ExitCode, formatSettingsProblem} from '@wisteriadeal/runtime';
import {CommandError} from './command-error.js';

/** The settings file that is read where no other is named. */
export const DEFAULT_SETTINGS_FILE = 'wisteriadeal.jsonc';

/** Settings whose required parts are there. */
export interface CheckedSettings {
  readonly platform: PlatformSettings;
  readonly ledgerStreams: number;
  readonly operator: string;
  readonly controlAddresses: readonly string[];
}

const URL_FORM = /^https?:\/\/[^\s/]+:\d+$/;

function checkRequired(
  settings: CommandLineSettings,
): readonly SchemaMismatch[] {
  const url = 'a URL such as http://10.0.0.9:7000';
  return [
    ...(URL_FORM.test(settings.platform?.logUrl ?? '')
      ? []
      : [{path: ['platform', 'logUrl'], expected: url}]),
    ...(URL_FORM.test(settings.platform?.hostListUrl ?? '')
      ? []
      : [{path: ['platform', 'hostListUrl'], expected: url}]),
    ...(settings.ledgerStreams > 0
      ? []
      : [
          {
            path: ['ledgerStreams'],
            expected: "the number in the keepers' settings",
          },
        ]),
    ...(settings.operator === ''
      ? [{path: ['operator'], expected: 'your name, for the records'}]
      : []),
  ];
}

/**
 * Reads the settings of the command line.
 *
 * @throws CommandError that lists every problem.
 */
export function loadCommandSettings(file: string): CheckedSettings {
  const result = loadSettings(CommandLineSettingsSchema, file, checkRequired);
  if (result.err) {
    throw new CommandError(
      ExitCode.Configuration,
      result.val.map(formatSettingsProblem).join('\n'),
      `Correct the settings, or name another file with --settings.`,
    );
  }
  const {platform, ledgerStreams, operator, controlAddresses} = result.val;
  if (platform === undefined) {
    throw new Error('settings were not checked');
  }
  return {platform, ledgerStreams, operator, controlAddresses};
}
