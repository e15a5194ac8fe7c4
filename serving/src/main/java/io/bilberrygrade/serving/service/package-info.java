/** Client of plain services. */
package io.bilberrygrade.serving.service;
