/** Encoding of speed reports as compact arrays for the datagrams between nodes. */
import { toId } from '../ids/index.ts'
import { readFields, readList, readNumber, readText } from '../wire/index.ts'
import type { BackendId } from '../ids/index.ts'
import type { ServerSums, ServiceSums, SpeedReport } from './types.ts'

type WireServer = [backend: string, startedAtMs: number, hundredthSamples: number, tokens: number, measuredMs: number, gaps: number, gapMs: number]
export type WireSpeeds = [servers: WireServer[], services: Array<[service: string, ...sums: number[]]>]

/** Parts of a sample that are sent, so that small numbers of samples fit into integers. */
const partsPerSample = 100
const serviceSumCount = 11

export function encodeSpeeds (report: SpeedReport | undefined): WireSpeeds | null {
  if (report === undefined) return null
  return [
    report.servers.map(({ backend, startedAtMs, sums: [samples, tokens, measuredMs, gaps, gapMs] }) => [backend, startedAtMs, Math.round(samples * partsPerSample), Math.round(tokens), Math.round(measuredMs), Math.round(gaps), Math.round(gapMs)]),
    report.services.map(({ service, sums }) => [service, ...sums])
  ]
}

function readSum (value: unknown): number {
  const sum = readNumber(value)
  if (sum < 0) throw new TypeError('expected a sum of measurements, found a negative number')
  return sum
}

/** Decodes what a node reports; throws if a value is of another kind. */
export function decodeSpeeds (wire: unknown): SpeedReport | undefined {
  if (wire === undefined || wire === null) return undefined
  const [servers, services] = readFields(wire)
  return {
    servers: readList(servers, item => {
      const [backend, startedAtMs, samples, tokens, measuredMs, gaps, gapMs] = readFields(item)
      const sums: ServerSums = [readSum(samples) / partsPerSample, readSum(tokens), readSum(measuredMs), readSum(gaps), readSum(gapMs)]
      return { backend: toId<BackendId>(readText(backend)), startedAtMs: readNumber(startedAtMs), sums }
    }),
    services: readList(services, item => {
      const [service, ...sums] = readFields(item)
      return { service: readText(service), sums: Array.from({ length: serviceSumCount }, (_, index) => readSum(sums[index])) as readonly number[] as ServiceSums }
    })
  }
}
