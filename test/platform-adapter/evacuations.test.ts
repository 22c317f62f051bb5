/** Guards against evacuations that a node misses: without the store, at its start, by a long value, or after a restore of the store. */
import test from 'ava'
import { parseSettings } from '../../platform/settings.ts'
import { startNode } from '../../platform/node.ts'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { formatResponse, startRawBackend } from '../../src/stand-ins/raw-backend/index.ts'
import { findFreePorts } from '../free-ports.ts'
import { createConfiguration, createNodePorts, nodeSettings, requestIdHeader, signatureHeader, startPlatform } from './soak-deployment.ts'

const clock = createSystemClock()
const key = 'op/evacuate/a'

test('nodes with and without the store send nothing to a domain while its key exists, also when a restore brings the key back', async t => {
  const [platform, cutOff] = [await startPlatform(), await startPlatform()]
  cutOff.setFault('busy')
  const servers = await Promise.all(['a', 'b'].map(() => startRawBackend(({ headers }, socket) => {
    socket.write(formatResponse(200, { [requestIdHeader]: headers[requestIdHeader] ?? '', [signatureHeader]: 's' }, 'whole'))
  })))
  t.teardown(() => Promise.all([...servers, platform, cutOff].map(each => each.close())))
  await platform.put('op/config', createConfiguration(1))
  for (const [index, zone] of ['a', 'b'].entries()) {
    await platform.put(`servers/i-${zone}`, { service: 'registry', address: `127.0.0.1:${servers[index]!.port}`, zone, version: 'v1', slots: 4, state: 'ready', sequence: 1 })
  }
  await platform.put(key, '\u0000\uFFFD'.repeat(2_000))
  platform.setEra(1)
  const copy = platform.copy()
  const nodes: Array<{ port: number, events: string[] }> = []
  for (const store of [platform, cutOff]) {
    const port = await findFreePorts(10)
    const events: string[] = []
    const seeds = nodes.map(other => createNodePorts(other.port).control)
    const settings = parseSettings(nodeSettings(`front-a-${nodes.length}`, port, Number(store.address.split(':')[1]), seeds, true), 'node.conf')
    const node = await startNode(settings, { log: (event, fields = {}) => { events.push(`${event} ${String(fields['domain'])} ${String(fields['isByRestore'])}`) } })
    t.teardown(node.stop)
    nodes.push({ port, events })
    while (!events.some(event => event.startsWith('configurationTaken'))) await clock.sleep(20)
  }
  let count = 0
  /** Sends requests through both nodes and returns how many arrive in domain a. */
  async function countInA (): Promise<number> {
    const before = servers[0]!.requests.length
    for (let index = 0; index < 10; index += 1) {
      const response = await fetch(`http://127.0.0.1:${nodes[index % 2]!.port}/look-up/`, { headers: { [requestIdHeader]: `r-${count++}`, authorization: 'Bearer key-1' } })
      t.is(response.status, 200, await response.text())
    }
    return servers[0]!.requests.length - before
  }
  const untilLogged = async (name: string, domain: string, isByRestore = false): Promise<void> => {
    while (!nodes.every(({ events }) => events.includes(`${name} ${domain} ${isByRestore}`))) await clock.sleep(20)
  }
  t.is(await countInA(), 0)
  await platform.remove(key)
  await platform.put('op/evacuate/b', '')
  await untilLogged('domainEvacuationEnded', 'a')
  await untilLogged('domainEvacuated', 'b')
  t.is(await countInA(), 10)
  platform.restore(copy)
  await untilLogged('domainEvacuated', 'a', true)
  await untilLogged('domainEvacuationEnded', 'b', true)
  t.is(await countInA(), 0)
})
