/** Decides which memory on engines is orphaned and who looks for it. */
package io.bilberrygrade.core.reclaim;
