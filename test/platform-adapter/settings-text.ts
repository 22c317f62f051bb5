/** A settings file of the platform for a node on loopback. */
const fields: Record<string, string> = {
  node_name: 'front-a-1',
  role: 'entry',
  ip: '127.0.0.1',
  zone: 'a',
  region: 'r',
  'listen.front': '127.0.0.1:18221',
  'listen.readiness': '127.0.0.1:18224',
  'listen.control': '127.0.0.1:18229',
  internal_ports: '17600,17615',
  seeds: '127.0.0.1:1',
  bootstrap: 'true',
  'bounds.grace_s': '8',
  'bounds.lease_ms': '3000',
  'bounds.report_window_s': '5',
  'platform.address': '127.0.0.1:1',
  'platform.ttl_min_ms': '1000',
  'cloud.address': '127.0.0.1:1',
  'cloud.duties': 'usage_report,autoscale'
}

/** The file with some fields changed. */
export function settingsText (changes: Record<string, string>): string {
  return Object.entries({ ...fields, ...changes }).map(([name, value]) => `${name}=${value}`).join('\n')
}
