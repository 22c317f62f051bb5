/** Checks the usage reports that the platform accepted. */
import type { ApiCall } from '../../test/platform-adapter/platform-stand-in.ts'

const usagePathEnd = '/usage'

/** The windows for which the platform accepted reports with different counts. It refuses a report with a lower fencing number than an earlier one had. */
export function findConflictingReports (calls: readonly Pick<ApiCall, 'path' | 'fencingNumber' | 'body'>[]): string[] {
  const accepted = new Map<number, string>()
  const conflicts: string[] = []
  let highestFencingNumber = 0
  for (const { path, fencingNumber, body } of calls) {
    if (!path.endsWith(usagePathEnd) || fencingNumber < highestFencingNumber) continue
    highestFencingNumber = fencingNumber
    const window = Number(body['window_id'])
    const counts = JSON.stringify(Object.entries(body['counts'] as object).toSorted(([a], [b]) => a.localeCompare(b)))
    const before = accepted.get(window)
    if (before !== undefined && before !== counts) conflicts.push(`window ${window} was reported with ${before} and with ${counts}`)
    accepted.set(window, counts)
  }
  return conflicts
}
