/** The platform's instance list with entries that can't be read. */
import { createServer } from 'node:http'
import test from 'ava'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { createInstanceList } from '../../src/core/platform/instance-list/index.ts'
import type { AddressInfo } from 'node:net'

test('an instance that can not be read is left out, and a list that can not be read is an error', async t => {
  const backend = { id: 'b-1', instance: 'i-1', team: 'letters', kind: 'model-engine', version: 'v1', domain: 'zone-a', machineClass: 'm', reclaimable: false, url: 'http://127.0.0.1:9000', state: 'live' }
  const node = { address: { node: 'n-1', domain: 'zone-a', host: '127.0.0.1', port: 7000 }, leaving: false }
  const oddBackends = [null, 5, { ...backend, url: 'http://127.0.0.1:70000' }, { ...backend, url: 'nowhere' }, { ...backend, id: 7 }, { ...backend, state: 'asleep' }, { ...backend, goneAtMs: 1e300 }]
  const oddNodes = [null, {}, { ...node, address: { ...node.address, port: 70_000 } }]
  let body = ''
  const server = createServer((_request, response) => { response.end(body) })
  await new Promise<void>(resolve => server.listen({ host: '127.0.0.1', port: 0 }, resolve))
  const counts: number[] = []
  const list = createInstanceList({ url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, clock: createSystemClock(), onInvalid: count => counts.push(count) })
  t.teardown(async () => {
    await list.close()
    server.close()
  })
  const read = () => list.read(Date.now() + 5_000)
  body = JSON.stringify({ nodes: [...oddNodes, node], backends: [...oddBackends, backend] })
  for (let index = 0; index < 3; index += 1) t.deepEqual((await read()).unwrapOr(undefined), { nodes: [node], backends: [backend] } as never)
  t.deepEqual(counts, [oddBackends.length + oddNodes.length])
  for (body of ['null', '[]', '{"nodes":5,"backends":[]}', '{']) t.true((await read()).isErr, body)
})
