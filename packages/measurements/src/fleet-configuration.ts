import {fromJsonString} from '@bufbuild/protobuf';
import {ConfigurationBuilder} from '@wisteriadeal/operator';
import {ConfigurationSchema, type Configuration} from '@wisteriadeal/schema';

import type {Fleet} from './fleet.js';
import {
  CALL_TOKENS,
  MODEL,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  type OrganisationPlan,
} from './workload.js';

const MAXIMUM_OUTPUT_TOKENS = 256;
const PLAIN_SLOTS = 16;

function plainCall(name: string, idempotent: boolean, method: 'GET' | 'POST') {
  const outcomePath = '/outcomes';
  const path = `/${name}`;
  return {name, method, path, idempotent, tokens: CALL_TOKENS, outcomePath};
}

/**
 * Builds the fleet's configuration with the same library calls that an operator uses.
 */
function buildConfiguration(
  fleet: Fleet,
  organisations: readonly OrganisationPlan[],
): ConfigurationBuilder {
  const builder = new ConfigurationBuilder();
  const models = builder.modelService(MODEL_SERVICE, {
    models: [{name: MODEL, maximumOutputTokens: MAXIMUM_OUTPUT_TOKENS}],
  });
  const registry = builder.plainService(PLAIN_SERVICE, {
    calls: [
      plainCall('certificates', false, 'POST'),
      plainCall('deposits', false, 'POST'),
      plainCall('balances', true, 'POST'),
      plainCall('records', true, 'GET'),
    ],
  });
  for (const engine of fleet.engines) {
    builder.endpoint(engine.name, {
      service: models,
      dataCenter: engine.dataCenter,
      address: engine.process.address('address'),
      slots: fleet.plan.engine.slots,
      checksFencingNumbers: engine.checksFencingNumbers,
    });
  }
  for (const service of fleet.plainServices) {
    builder.endpoint(service.name, {
      service: registry,
      dataCenter: service.dataCenter,
      address: service.process.address('address'),
      slots: PLAIN_SLOTS,
    });
  }
  for (const {name, budgetTokens, preference, from} of organisations) {
    builder.organisation(name, {
      openingBudgetTokens: budgetTokens,
      budgetPreference: preference,
      callers: [{name: from.caller, secret: from.secret}],
      services: [models, registry],
    });
  }
  return builder;
}

/**
 * Returns a fleet's configuration after a round trip through the JSON that the
 * operators' library prints.
 */
export function fleetConfiguration(
  fleet: Fleet,
  organisations: readonly OrganisationPlan[],
): Configuration {
  let printed = '';
  buildConfiguration(fleet, organisations).print(text => {
    printed += text;
  });
  return fromJsonString(ConfigurationSchema, printed);
}
