import type {DescMessage, MessageShape} from '@bufbuild/protobuf';
import {
  CommandLineSettingsSchema,
  GatewaySettingsSchema,
  KeeperSettingsSchema,
  RouterSettingsSchema,
  type CommandLineSettings,
  type GatewaySettings,
  type KeeperSettings,
  type PlatformSettings,
  type ProcessSettings,
  type RouterSettings,
} from '@wisteriadeal/schema';
import {isIP} from 'node:net';

import type {SchemaMismatch} from './schema-check.js';
import type {MessageCheck} from './settings-file.js';

type Path = readonly (string | number)[];
type Rule<Value> = (value: Value, path: Path) => readonly SchemaMismatch[];

const MAXIMUM_PORT = 65_535;
const URL_PATTERN = /^https?:\/\/[^\s/]+:\d+$/;

function rule<Value>(
  isValid: (value: Value) => boolean,
  expected: string,
): Rule<Value> {
  return (value, path) => (isValid(value) ? [] : [{path, expected}]);
}

function isAddress(text: string): boolean {
  const [, host = '', port = ''] = /^(.*):(\d{1,5})$/.exec(text) ?? [];
  return (
    isIP(host.replace(/^\[(.*)\]$/, '$1')) !== 0 &&
    Number(port) >= 1 &&
    Number(port) <= MAXIMUM_PORT
  );
}

const name = rule<string>(text => text !== '', 'a name');
const ipAddress = rule<string>(text => isIP(text) !== 0, 'an IP address');
const address = rule<string>(isAddress, 'IP:port, such as 10.0.0.5:7101');
const url = rule<string>(
  text => URL_PATTERN.test(text),
  'a URL with a port and no path, such as http://10.0.0.9:7000',
);
const port = rule<number>(
  value => value <= MAXIMUM_PORT,
  `a port up to ${MAXIMUM_PORT}`,
);
const positive = rule<number>(value => value > 0, 'a number above 0');

/** Rule for a setting with a default, which 0 selects. */
function atMost(maximum: number): Rule<number> {
  return rule(
    value => value <= maximum,
    `at most ${maximum}; 0 for the default`,
  );
}

function checkProcess(
  process: ProcessSettings | undefined,
): readonly SchemaMismatch[] {
  const path = ['process'];
  if (process === undefined) {
    return [{path, expected: 'an object with host, dataCenter and address'}];
  }
  const {metrics} = process;
  return [
    ...name(process.host, [...path, 'host']),
    ...name(process.dataCenter, [...path, 'dataCenter']),
    ...ipAddress(process.address, [...path, 'address']),
    ...port(process.controlPort, [...path, 'controlPort']),
    ...(metrics === undefined
      ? []
      : [
          ...ipAddress(metrics.address, [...path, 'metrics', 'address']),
          ...positive(metrics.port, [...path, 'metrics', 'port']),
          ...port(metrics.port, [...path, 'metrics', 'port']),
        ]),
  ];
}

/** One minute; a longer timeout would only delay the detection of an outage. */
const MAXIMUM_PLATFORM_TIMEOUT_MILLISECONDS = 60_000;

function checkPlatform(
  platform: PlatformSettings | undefined,
): readonly SchemaMismatch[] {
  const path = ['platform'];
  if (platform === undefined) {
    return [{path, expected: 'an object with logUrl and hostListUrl'}];
  }
  const {weightStoreUrl} = platform;
  return [
    ...url(platform.logUrl, [...path, 'logUrl']),
    ...url(platform.hostListUrl, [...path, 'hostListUrl']),
    ...(weightStoreUrl === ''
      ? []
      : url(weightStoreUrl, [...path, 'weightStoreUrl'])),
    ...atMost(MAXIMUM_PLATFORM_TIMEOUT_MILLISECONDS)(
      platform.timeoutMilliseconds,
      [...path, 'timeoutMilliseconds'],
    ),
  ];
}

function checkRouter(settings: RouterSettings): readonly SchemaMismatch[] {
  return [
    ...checkProcess(settings.process),
    ...port(settings.callerPort, ['callerPort']),
    ...address(settings.keeperAddress, ['keeperAddress']),
  ];
}

/** Limits how many records a new reader must fold after the last checkpoint. */
const MAXIMUM_CHECKPOINT_RECORDS = 50_000;
/** Streams are named by number; a higher count is taken for a typing error. */
const MAXIMUM_LEDGER_STREAMS = 4_096;

function checkKeeper(settings: KeeperSettings): readonly SchemaMismatch[] {
  const {heartbeatMilliseconds, heartbeatLimitMilliseconds} = settings;
  const limitTooShort =
    heartbeatLimitMilliseconds !== 0 &&
    heartbeatLimitMilliseconds <= heartbeatMilliseconds;
  return [
    ...checkProcess(settings.process),
    ...checkPlatform(settings.platform),
    ...atMost(MAXIMUM_LEDGER_STREAMS)(settings.ledgerStreams, [
      'ledgerStreams',
    ]),
    ...atMost(MAXIMUM_CHECKPOINT_RECORDS)(settings.checkpointRecords, [
      'checkpointRecords',
    ]),
    ...(limitTooShort
      ? [
          {
            path: ['heartbeatLimitMilliseconds'],
            expected: `more than heartbeatMilliseconds (${heartbeatMilliseconds})`,
          },
        ]
      : []),
    ...settings.seedKeepers.flatMap((seed, index) =>
      address(seed, ['seedKeepers', index]),
    ),
  ];
}

function checkCommandLine(
  settings: CommandLineSettings,
): readonly SchemaMismatch[] {
  return [
    ...checkPlatform(settings.platform),
    ...rule<number>(
      value => value > 0 && value <= MAXIMUM_LEDGER_STREAMS,
      "the number in the keepers' settings",
    )(settings.ledgerStreams, ['ledgerStreams']),
    ...name(settings.operator, ['operator']),
    ...settings.controlAddresses.flatMap((control, index) =>
      address(control, ['controlAddresses', index]),
    ),
  ];
}

function checkGateway(settings: GatewaySettings): readonly SchemaMismatch[] {
  return [
    ...name(settings.host, ['host']),
    ...name(settings.dataCenter, ['dataCenter']),
    ...address(settings.callerAddress, ['callerAddress']),
    ...address(settings.readyAddress, ['readyAddress']),
    ...address(settings.statusAddress, ['statusAddress']),
    ...address(settings.peerAddress, ['peerAddress']),
    ...address(settings.storeAddress, ['storeAddress']),
    ...positive(settings.budgetReserveSeconds, ['budgetReserveSeconds']),
    ...rule<number>(
      value => value > 0 && value <= 1,
      'a number above 0, at most 1',
    )(settings.budgetPooledPart, ['budgetPooledPart']),
  ];
}

/** Accepts only messages of the type that it is registered for. */
type RegisteredCheck = (settings: never) => readonly SchemaMismatch[];

const CHECKS = new Map<string, RegisteredCheck>([
  [RouterSettingsSchema.typeName, checkRouter],
  [KeeperSettingsSchema.typeName, checkKeeper],
  [CommandLineSettingsSchema.typeName, checkCommandLine],
  [GatewaySettingsSchema.typeName, checkGateway],
]);

/**
 * Returns the check of a binary's settings beyond their schema: required keys, formats
 * and ranges. proto3 doesn't distinguish a missing key from its zero value, so without
 * this check a missing address would only surface minutes later as a failed connection.
 *
 * @returns A check that reports no mismatches for message types without such rules.
 * @example
 * ```ts
 * loadSettings(schema, file, settingsCheckOf(schema));
 * ```
 */
export function settingsCheckOf<Schema extends DescMessage>(
  schema: Schema,
): MessageCheck<Schema> {
  const check = CHECKS.get(schema.typeName);
  return (message: MessageShape<Schema>) => check?.(message as never) ?? [];
}
