import t from 'tap';
import { parseDirectSettings } from './direct_settings.js';
import type { DirectSettings } from './direct_settings.js';
import { SettingsError } from './settings_error.js';

const REQUIRED = {
  hostId: 'entry-1',
  ip: '10.0.0.1',
  callersAddress: '10.0.0.1:1',
  readinessAddress: '10.0.0.1:2',
  peersAddress: '10.0.0.1:3',
  addressBookAddress: '10.0.0.1:4',
  storeAddress: '10.0.0.9:1',
};

const DEFAULTS = parseDirectSettings(JSON.stringify(REQUIRED));

const SEED = '10.0.0.2:3';

const ODD_SEEDS = ['10.0.0.3:99999', 'host-a:3', '', ' ', '10.0.0.999:3', '10.0.0.3', null, 7, {}];

interface Parsed {
  readonly settings: DirectSettings;
  /** One entry for each call of the report. */
  readonly reports: readonly (readonly string[])[];
}

function parse(changes: Readonly<Record<string, unknown>>): Parsed {
  const reports: (readonly string[])[] = [];
  const settings = parseDirectSettings(JSON.stringify({ ...REQUIRED, ...changes }), (faults) => {
    reports.push(faults);
  });
  return { settings, reports };
}

// Guards against hosts that end at their start because one of several seed addresses is invalid.
t.test('settings keep the seed addresses that are valid', async (t) => {
  ODD_SEEDS.forEach((odd) => {
    const { settings, reports } = parse({ seedPeerAddresses: [odd, SEED, odd] });
    t.same(settings.seedPeerAddresses, [SEED], JSON.stringify(odd));
    t.match(reports, [[/seedPeerAddresses\.0: /, /seedPeerAddresses\.2: /]]);
  });
  t.same(parse({ seedPeerAddresses: [SEED] }), {
    settings: { ...DEFAULTS, seedPeerAddresses: [SEED] },
    reports: [],
  });
});

// Guards against hosts that end at their start although a host without seeds can serve.
t.test('settings bear seed addresses of which none is valid', async (t) => {
  for (const seedPeerAddresses of [ODD_SEEDS, '', SEED, null, 7, {}]) {
    const { settings, reports } = parse({ seedPeerAddresses });
    t.same(settings, DEFAULTS, JSON.stringify(seedPeerAddresses));
    t.equal(reports.length, 1);
  }
});

// Guards against hosts that end at their start because a region is missing for a zone.
t.test('settings keep the zones whose region is named', async (t) => {
  const { settings, reports } = parse({ zoneRegions: { a: 'north', b: null, c: 7 } });
  t.same(settings.zoneRegions, { a: 'north' });
  t.match(reports, [[/zoneRegions\.b: /, /zoneRegions\.c: /]]);
});

// Guards against hosts that end at their start because a value with a default is invalid.
t.test('settings use the default in place of an invalid value', async (t) => {
  const fields = Object.keys(DEFAULTS).filter((name) => !Object.hasOwn(REQUIRED, name));
  t.ok(fields.length > 10);
  for (const field of [...fields, 'advertisedPeersAddress']) {
    for (const odd of [null, 'odd', -1, [null], { a: null }]) {
      const { settings, reports } = parse({ [field]: odd });
      if (!(field === 'availabilityZone' && odd === 'odd')) {
        t.same(settings, DEFAULTS, `${field}: ${JSON.stringify(odd)}`);
        t.match(reports, [[new RegExp(`settings file: ${field}`)]]);
      }
    }
  }
});

function listFaults(changes: Readonly<Record<string, unknown>>): readonly string[] {
  try {
    parse(changes);
  } catch (error) {
    if (error instanceof SettingsError) return error.faults;
    throw error;
  }
  return [];
}

t.test('settings without what a host needs are refused with every fault', async (t) => {
  for (const field of Object.keys(REQUIRED)) {
    for (const odd of [undefined, null, '', 7]) {
      const faults = listFaults({ [field]: odd, stopLimitS: -1 }).join('\n');
      t.match(faults, new RegExp(`settings file: ${field}: [^]*settings file: stopLimitS: `));
    }
  }
  for (const text of ['null', '7', '[]', '"text"']) {
    t.throws(() => parseDirectSettings(text), SettingsError, text);
  }
});

// Guards against a host that takes a secret of its own and is linked to no other host.
t.test('settings with an invalid secret are refused', async (t) => {
  t.match(listFaults({ peersSecret: 'short' }), [/peersSecret/]);
});
