/** Starts processes of the system with the command of the deploy file, each on a loopback address of its own. */
import { spawn } from 'node:child_process'
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, connect } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'

const repository = fileURLToPath(new URL('../..', import.meta.url))
const startTimeoutMs = 20_000

/** Whether a port can be bound at an address. */
function isFree (host, port) {
  return new Promise(resolve => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen({ host, port }, () => server.close(() => resolve(true)))
  })
}

/** The first of 20 consecutive ports that are free at all the addresses. */
async function findPorts (hosts) {
  for (let first = 21_000 + Math.floor(Math.random() * 1_000) * 20; ; first = 21_000 + (first - 20_980) % 20_000) {
    const checks = hosts.flatMap(host => Array.from({ length: 20 }, (_, index) => isFree(host, first + index)))
    if ((await Promise.all(checks)).every(Boolean)) return first
  }
}

function deployCommand () {
  const run = /^run = "(.*)"$/m.exec(readFileSync(join(repository, 'deploy/system.toml'), 'utf8'))?.[1]
  if (run === undefined) throw new Error('the deploy file has no command')
  return run.split(' ')
}

/** Creates the processes of a small deployment; `extra` are further fields of the settings. */
export async function createNodes ({ count, platform, record, extra = {} }) {
  const folder = mkdtempSync(join(tmpdir(), 'review-'))
  const hosts = Array.from({ length: count }, (_, index) => `127.0.1.${index + 1}`)
  const first = await findPorts(hosts)
  const zones = ['zone-a', 'zone-b', 'zone-c']
  const [front, readiness, control, internal] = [first, first + 1, first + 2, first + 4]
  const nodes = []

  function settingsOf ({ name, host, zone, storePort }, isFirstStart) {
    const fields = {
      node_name: name,
      role: 'entry',
      machine_class: 'front',
      serves: 'front,control',
      ip: host,
      zone,
      region: 'region-a',
      ...Object.fromEntries(zones.map(other => [`zones.${other}`, 'region-a'])),
      'listen.front': `${host}:${front}`,
      'listen.readiness': `${host}:${readiness}`,
      'listen.control': `${host}:${control}`,
      internal_ports: `${internal},${internal + 15}`,
      seeds: hosts.slice(0, 3).map(seed => `${seed}:${control}`).join(','),
      bootstrap: isFirstStart,
      in_tolerance: false,
      'limits.cpu_share': 0.675,
      'limits.cores': 1,
      'limits.memory_mb': 350,
      'limits.max_fds': 4100,
      'limits.link_mbps': 1000,
      'limits.disk_mb': 0,
      discovery: 'platform',
      entry: 'vip',
      heartbeat_ms: 1200,
      contracts: 'base,drain,config,cost,retry,recover,engine,stream,tenants,quota,leader,rollout,platform',
      'bounds.seed_lag_s': 3,
      'bounds.reuse_after_s': 2,
      'bounds.contact_ms': 3000,
      'bounds.ack_ms': 4000,
      'bounds.catch_up_s': 4,
      'bounds.drain_ms': 2000,
      'bounds.grace_s': 8,
      'bounds.loss_slack_ms': 200,
      'bounds.config_apply_ms': 2000,
      'bounds.rollback_slack_ms': 250,
      'bounds.skew_max_ms': 5000,
      'bounds.revoke_offline': false,
      'bounds.revoke_ms': 5000,
      'bounds.retry_budget_ratio': 0.2,
      'bounds.budget_window_s': 10,
      'bounds.budget_slack': 58,
      'bounds.quota_window_s': 8,
      'bounds.quota_overrun': 0.1,
      'bounds.quota_slack': 110000,
      'bounds.require_fence': true,
      'bounds.lease_ms': 3000,
      'bounds.thaw_slack_ms': 300,
      'bounds.report_window_s': 5,
      'bounds.usage_tolerance': 0.05,
      'bounds.usage_late_s': 10,
      'bounds.exposure_share': 0.1,
      'bounds.exposure_slack': 50,
      'bounds.rollback_ms': 5000,
      'bounds.recovery_s': 12,
      'bounds.pass_ms': 120,
      'bounds.reuse_window_s': 9,
      'platform.address': `127.0.0.1:${storePort}`,
      'platform.form': 'kv',
      'platform.writes_per_s': 400,
      'platform.reads_per_s': 2000,
      'platform.history_s': 20,
      'platform.value_bytes': 1048576,
      'platform.ttl_min_ms': 1000,
      'cloud.address': `127.0.0.1:${storePort}`,
      'cloud.rate_per_s': 50,
      'cloud.duties': 'usage_report,autoscale',
      'cloud.duty_per_s': 50,
      ...extra
    }
    return Object.entries(fields).map(([name, value]) => `${name}=${value}`).join('\n') + '\n'
  }

  function start (node, isFirstStart) {
    const path = join(folder, `${node.name}.conf`)
    writeFileSync(path, settingsOf(node, isFirstStart))
    const [program, ...parameters] = deployCommand()
    const environment = { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG ?? 'C.UTF-8', CYCLAMENSHUNT_SETTINGS: path }
    const output = createWriteStream(join(folder, `${node.name}.log`), { flags: 'a' })
    const child = spawn(program, parameters, { cwd: repository, env: environment, stdio: ['ignore', 'pipe', 'pipe'] })
    node.child = child
    child.stdout.pipe(output)
    child.stderr.pipe(output)
    node.ended = new Promise(resolve => child.once('exit', (code, signal) => {
      record(`${node.name} process ${child.pid} ended code ${code} signal ${signal}`)
      resolve()
    }))
    record(`${node.name} process ${child.pid} started`)
  }

  async function isReady (node) {
    try {
      const answer = await fetch(`http://${node.host}:${readiness}/cyclamenshunt/ready`)
      return answer.status === 200
    } catch {
      return false
    }
  }

  async function whenReady (node) {
    const untilMs = Date.now() + startTimeoutMs
    while (!await isReady(node)) {
      if (Date.now() > untilMs) throw new Error(`${node.name} isn't ready`)
      await sleep(50)
    }
    record(`${node.name} ready`)
  }

  for (const [index, host] of hosts.entries()) {
    const name = `front-${index + 1}`
    nodes.push({ name, host, port: front, zone: zones[index % zones.length], storePort: await platform.listen(name) })
  }
  return {
    nodes,
    folder,
    start,
    whenReady,
    /** Connects to the callers' port of a node. */
    connect: node => connect({ host: node.host, port: node.port }),
    close: async () => {
      for (const { child, ended } of nodes) {
        if (child === undefined) continue
        child.kill('SIGKILL')
        await ended
      }
      if (process.env.KEEP_LOGS === undefined) rmSync(folder, { recursive: true, force: true })
      else process.stdout.write(`logs in ${folder}\n`)
    }
  }
}
