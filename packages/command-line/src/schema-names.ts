import type {DescMessage} from '@bufbuild/protobuf';
import {
  CommandLineSettingsSchema,
  ConfigurationSchema,
  GatewaySettingsSchema,
  KeeperSettingsSchema,
  RouterSettingsSchema,
} from '@wisteriadeal/schema';

/** Message schemas of the files that operators write, by schema name. */
export const SCHEMAS: Readonly<Record<string, DescMessage>> = {
  configuration: ConfigurationSchema,
  router: RouterSettingsSchema,
  keeper: KeeperSettingsSchema,
  gateway: GatewaySettingsSchema,
  'command-line': CommandLineSettingsSchema,
};
