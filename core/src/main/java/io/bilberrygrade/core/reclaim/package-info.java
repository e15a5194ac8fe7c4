/** Decides which memory on engines is orphaned and which daemon checks for it. */
package io.bilberrygrade.core.reclaim;
