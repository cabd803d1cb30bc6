import type {DescMessage} from '@bufbuild/protobuf';
import {
  CommandLineSettingsSchema,
  ConfigurationSchema,
  GatewaySettingsSchema,
  KeeperSettingsSchema,
  RouterSettingsSchema,
} from '@wisteriadeal/schema';

/** The files that operators write, by the name of their schema. */
export const SCHEMAS: Readonly<Record<string, DescMessage>> = {
  configuration: ConfigurationSchema,
  router: RouterSettingsSchema,
  keeper: KeeperSettingsSchema,
  gateway: GatewaySettingsSchema,
  'command-line': CommandLineSettingsSchema,
};
