/** Configurations of the operator, with the kinds of request of the lyric licensing desk. */

export const engineService = 'lyric-model'
export const ledgerService = 'rights-ledger'
export const apiKey = 'key-of-the-desk'
export const tenant = 'desk'

function createRoute (name, kind, service, timeoutMs, sloMs, attempts, more = {}) {
  return { name, host: 'desk.example', path_prefix: `/${name}/`, kind, timeout_ms: timeoutMs, slo_ms: sloMs, priority: 1, service, max_attempts: attempts, allow_anonymous: false, ...more }
}

/** The configuration, with the time-outs and attempts of the users' sheet. */
export function createConfiguration (version = 7) {
  return {
    version,
    routes: [
      createRoute('rights-query', 'streaming', engineService, 4_000, 500, 2, { stream_resume: true, gap_slo_ms: 250 }),
      createRoute('snippet-draft', 'streaming', engineService, 15_000, 400, 1, { stream_resume: false, gap_slo_ms: 250 }),
      createRoute('grant-record', 'non_idempotent', ledgerService, 800, 150, 1),
      createRoute('holder-lookup', 'safe', ledgerService, 800, 150, 2)
    ],
    services: [
      { name: engineService, health_path: '/health', max_connections: 370, protocol: 'h1', tls: false, engine: { slots: 64, kv_capacity: 359_080 } },
      { name: ledgerService, health_path: '/health', max_connections: 110, protocol: 'h1', tls: false }
    ],
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    tenants: [{ name: tenant, api_keys: [apiKey], priority: 1, unit: 'token', uncached_tokens: 200, rate_per_s: 10_000_000, burst: 10_000_000 }]
  }
}
