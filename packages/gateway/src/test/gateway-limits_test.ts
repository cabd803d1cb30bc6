import {create} from '@bufbuild/protobuf';
import {GatewaySettingsSchema} from '@wisteriadeal/schema';
import {describe, expect, it} from 'vitest';

import {gatewayLimits} from '../gateway-limits.js';

describe('gatewayLimits', () => {
  it('converts settings without rounding fractions', () => {
    const settings = create(GatewaySettingsSchema, {
      stopGraceSeconds: 7.5,
      retryBudgetRatio: 0.25,
      retryBudgetExtra: 190.5,
      retryBudgetWindowSeconds: 7.25,
      endpointDrainMilliseconds: 3_000.5,
      configurationApplyMilliseconds: 2_500.5,
      evacuationMilliseconds: 4_000.5,
      storeKeepSeconds: 20.5,
      memoryMegabytes: 350.5,
      descriptorLimit: 4_100.5,
      fileDescriptors: 200,
    });
    expect(gatewayLimits(settings)).toEqual({
      stopGraceMilliseconds: 7_500,
      resends: {
        resendsPerRequest: 0.25,
        extraResends: 190.5,
        windowMilliseconds: 7_250,
      },
      endpointDrainMilliseconds: 3_000.5,
      configurationApplyMilliseconds: 2_500.5,
      evacuationMilliseconds: 4_000.5,
      storeRetentionMilliseconds: 20_500,
      linkBytesPerSecond: 0,
      inputCapacityBytes: 111_250_000,
      connectionLimit: 3_900,
    });
  });

  it('applies the defaults, which allow no resends, to missing settings', () => {
    // Guards against reading a missing time as 0.
    const limits = gatewayLimits(create(GatewaySettingsSchema));
    expect(limits).toEqual({
      stopGraceMilliseconds: 8_000,
      resends: {
        resendsPerRequest: 0,
        extraResends: 0,
        windowMilliseconds: 10_000,
      },
      endpointDrainMilliseconds: 2_000,
      configurationApplyMilliseconds: 2_000,
      evacuationMilliseconds: 5_000,
      storeRetentionMilliseconds: 20_000,
      linkBytesPerSecond: 0,
      inputCapacityBytes: 16_000_000,
      connectionLimit: undefined,
    });
  });
});
